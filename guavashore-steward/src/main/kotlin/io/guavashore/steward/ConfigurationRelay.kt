/*
 * Brings accepted declarations from the platform's store to the facts. Two stewards of each zone watch; the others
 * hear from them, so that the store's calls do not grow with the fleet.
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

/** Relay of one steward. [liveInZone] are the live members of its zone. */
internal class ConfigurationRelay(
    private val self: VmId,
    private val zone: ZoneId,
    private val store: ObjectStore,
    private val facts: FactTable,
    private val onPlatformHeard: () -> Unit,
    private val liveInZone: () -> List<VmId>,
) {
    private val configuration = ConfigurationStore(store)
    private var cursor = 0L
    private var reachable = true

    /** Watches whenever it is this steward's turn, until cancelled. */
    suspend fun run() {
        while (true) {
            if (watches()) watchOnce() else delay(IDLE_MS)
        }
    }

    private fun watches() = self in rendezvousRank("watch/$zone", liveInZone()).take(WATCHERS_PER_ZONE)

    private suspend fun watchOnce() {
        store
            .watch(HEADS_PREFIX, cursor, WATCH_MS)
            .onSuccess { batch ->
                noteReachable(true)
                // A restarted store may count anew; reading everything again is harmless.
                val all = batch.objects.all { publish(it) }
                cursor =
                    if (batch.cursor < cursor) {
                        0
                    } else if (all) {
                        batch.cursor
                    } else {
                        cursor
                    }
                onPlatformHeard()
                if (!all) delay(RETRY_MS)
            }.onFailure {
                noteReachable(false)
                delay(RETRY_MS)
            }
    }

    /** Publishes the snapshot that a head names; false if it could not be read. */
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
            log.warn { "${stored.path} is no head of a team and is passed over; see 'guavashorectl history'" }
            null
        }

    private fun noteReachable(now: Boolean) {
        if (now != reachable) log.info { if (now) "the store answers again" else "the store does not answer" }
        reachable = now
    }

    private companion object {
        const val WATCHERS_PER_ZONE = 2
        const val WATCH_MS = 4_000L
        const val IDLE_MS = 500L
        const val RETRY_MS = 500L
    }
}
