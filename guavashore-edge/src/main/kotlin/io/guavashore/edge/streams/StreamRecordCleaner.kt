/*
 * Removes records of streams that no caller can resume any more; run by the coordinator.
 */
package io.guavashore.edge.streams

import io.github.oshai.kotlinlogging.KotlinLogging
import io.guavashore.api.MonotonicClock
import io.guavashore.api.ServiceId
import io.guavashore.api.WallClock
import io.guavashore.platform.CallStore
import io.guavashore.platform.CollectionName
import io.guavashore.platform.StoreCall
import io.guavashore.platform.StoreResponse
import io.guavashore.platform.StoredEntry
import kotlinx.coroutines.delay
import kotlinx.serialization.json.Json

private val log = KotlinLogging.logger {}

/** Cleaner of one coordinator term. Not thread-safe. */
class StreamRecordCleaner(
    private val call: CallStore,
    private val listed: () -> Set<StreamOrigin>,
    private val clock: MonotonicClock,
    private val wallClock: WallClock,
) {
    /** Monotonic time at which each recorded version was last found in the directory, or first seen in this term. */
    private val lastListedMs = HashMap<StreamOrigin, Long>()

    /** Cleans until cancelled. */
    suspend fun run() {
        while (true) {
            delay(INTERVAL_MS)
            clean()
        }
    }

    internal suspend fun clean() {
        entries(STREAM_ORIGINS)
            .filter { entry -> readOriginRecord(entry)?.let { wallClock() - it.writtenAtMs > RETENTION_MS } ?: false }
            .forEach { call(StoreCall.Delete(STREAM_ORIGINS, it.name), TIMEOUT_MS) }
        entries(SOFTWARE_VERSIONS).forEach { removeUnlisted(it) }
    }

    /** Keeps at least one version, so that the origin of streams that began before the service was emptied is known. */
    private suspend fun removeUnlisted(entry: StoredEntry) {
        val service = ServiceId(entry.name)
        val present = listed()
        val versions = versionsIn(entry)
        val kept =
            versions.filterTo(LinkedHashSet()) { version ->
                val origin = StreamOrigin(service, version)
                if (origin in present) lastListedMs[origin] = clock()
                clock() - lastListedMs.getOrPut(origin) { clock() } <= RETENTION_MS
            }
        if (kept == versions || kept.isEmpty()) return
        val content = Json.encodeToString(VersionRecord(kept))
        val written = call(StoreCall.Replace(SOFTWARE_VERSIONS, entry.name, content, entry.revision), TIMEOUT_MS)
        log.info { "software versions removed: service=$service kept=$kept ok=${written.isOk}" }
    }

    private suspend fun entries(collection: CollectionName): List<StoredEntry> {
        val outcome = call(StoreCall.ListAll(collection), TIMEOUT_MS)
        if (outcome.isOk) return (outcome.value as StoreResponse.Listing).entries
        log.warn { "records of streams not cleaned: collection=$collection fault=${outcome.error.message}" }
        return emptyList()
    }

    private companion object {
        const val INTERVAL_MS = 60_000L
        const val TIMEOUT_MS = 2_000L

        /** Far above the deadlines of callers, and the time for which a VM may be cut off with an old directory. */
        const val RETENTION_MS = 600_000L
    }
}
