/*
 * Copies accepted declarations from the platform's store into the fact table. Two stewards of each zone watch the
 * store; the others receive the facts from them, so the number of store calls does not grow with the fleet.
 */
package io.guavashore.steward

import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import io.github.oshai.kotlinlogging.KotlinLogging
import io.guavashore.api.TeamSnapshot
import io.guavashore.api.VmId
import io.guavashore.api.ZoneId
import io.guavashore.api.rendezvousRank
import io.guavashore.configuration.ConfigurationStore
import io.guavashore.configuration.HEADS_PREFIX
import io.guavashore.configuration.TeamHead
import io.guavashore.membership.Fact
import io.guavashore.membership.FactTable
import io.guavashore.membership.FactVersion
import io.guavashore.platform.ObjectStore
import io.guavashore.platform.StoredObject
import io.guavashore.wire.FactKeys
import kotlinx.coroutines.delay
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

private val log = KotlinLogging.logger {}

/**
 * Relay of one steward. [onPlatformResponse] is called after each successful watch call; [liveInZone] returns the live
 * members of the steward's zone, from which the watchers are selected.
 */
internal class ConfigurationRelay(
    private val self: VmId,
    private val zone: ZoneId,
    private val store: ObjectStore,
    private val facts: FactTable,
    private val onPlatformResponse: () -> Unit,
    private val liveInZone: () -> List<VmId>,
) {
    private val configuration = ConfigurationStore(store)
    private var cursor = 0L
    private var reachable = true

    /** Watches the store while this steward is one of its zone's watchers. Returns only when cancelled. */
    suspend fun run() {
        while (true) {
            if (isWatcher()) watchOnce() else delay(WATCHER_CHECK_INTERVAL_MS)
        }
    }

    private fun isWatcher() = self in rendezvousRank("watch/$zone", liveInZone()).take(WATCHERS_PER_ZONE)

    private suspend fun watchOnce() {
        store
            .watch(HEADS_PREFIX, cursor, WATCH_TIMEOUT_MS)
            .onSuccess { batch ->
                recordReachable(true)
                // A restarted store may number its changes from the start again; reading them all again is harmless.
                val allPublished = batch.objects.all { publish(it) }
                cursor =
                    if (batch.cursor < cursor) {
                        0
                    } else if (allPublished) {
                        batch.cursor
                    } else {
                        cursor
                    }
                onPlatformResponse()
                if (!allPublished) delay(RETRY_DELAY_MS)
            }.onFailure {
                recordReachable(false)
                delay(RETRY_DELAY_MS)
            }
    }

    /** Publishes the snapshot that the head in [stored] names. Returns false if the snapshot could not be read. */
    private suspend fun publish(stored: StoredObject): Boolean {
        val head = readHead(stored) ?: return true
        val key = FactKeys.configuration(head.team)
        val version = FactVersion(key, term = head.newest.revision.value, sequence = 0)
        if (!version.isNewerThan(facts[key]?.version)) return true
        val snapshot: TeamSnapshot = configuration.snapshot(head.team, head.newest).getOrElse { return false }
        facts.offer(Fact(version, Json.encodeToString(snapshot)))
        return true
    }

    private fun readHead(stored: StoredObject): TeamHead? =
        try {
            Json.decodeFromString<TeamHead>(stored.value)
        } catch (e: SerializationException) {
            log.warn { "team head unreadable, skipped; see 'guavashorectl history': path=${stored.path}" }
            null
        }

    private fun recordReachable(nowReachable: Boolean) {
        if (nowReachable != reachable) {
            log.info { if (nowReachable) "platform store reachable again" else "platform store unreachable, retrying" }
        }
        reachable = nowReachable
    }

    private companion object {
        const val WATCHERS_PER_ZONE = 2
        const val WATCH_TIMEOUT_MS = 4_000L
        const val WATCHER_CHECK_INTERVAL_MS = 500L
        const val RETRY_DELAY_MS = 500L
    }
}
