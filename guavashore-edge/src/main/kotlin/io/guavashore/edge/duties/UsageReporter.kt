/*
 * Reports usage windows to the platform. The counts of a window are sealed in the store before they are sent, so every
 * coordinator that sends a window sends the same counts.
 */
package io.guavashore.edge.duties

import io.github.oshai.kotlinlogging.KotlinLogging
import io.guavashore.api.OrganisationId
import io.guavashore.platform.CallStore
import io.guavashore.platform.CollectionName
import io.guavashore.platform.StoreCall
import io.guavashore.platform.StoreCallError
import io.guavashore.platform.StoreResponse
import io.guavashore.platform.StoredEntry
import kotlinx.coroutines.delay
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

private val log = KotlinLogging.logger {}

/** Collection of sealed windows; the name of an entry is the window's number. */
val USAGE_WINDOWS = CollectionName("usage-windows")

/** Request counts of a sealed window, by organisation id. */
@Serializable
data class SealedUsage(
    val requests: Map<String, Long>,
)

/** Usage reporter; runs on the coordinator. Not thread-safe. */
class UsageReporter(
    private val counters: UsageCounters,
    private val port: CoordinatorPort,
    private val call: CallStore,
    private val leaseGrant: () -> LeaseGrant?,
    private val medianTimeMs: () -> Long,
    private val windowMs: Long,
) {
    private var nextWindow = 0L

    /** Reports windows until cancelled. */
    suspend fun run() {
        nextWindow = counters.windowAt(medianTimeMs()) - REPEATED_WINDOWS
        deleteOldWindows()
        while (true) {
            val dueMs = (nextWindow + 1) * windowMs + SETTLE_DELAY_MS
            if (medianTimeMs() >= dueMs && report(nextWindow)) nextWindow++ else delay(POLL_INTERVAL_MS)
        }
    }

    /** Seals and reports [window]; true unless the report must be retried. */
    private suspend fun report(window: Long): Boolean {
        val sealed = seal(window) ?: return false
        val grant = leaseGrant() ?: return false
        val report = UsageReport(window, sealed.requests.mapKeys { OrganisationId(it.key) })
        val outcome = port.reportUsage(report, grant)
        log.info {
            "usage reported: window=$window requests=${sealed.requests} outcome=$outcome fence=${grant.fencingNumber}"
        }
        if (outcome != PlatformCallOutcome.AGAIN) counters.discardBefore(window - REPEATED_WINDOWS)
        return outcome != PlatformCallOutcome.AGAIN
    }

    /** Seals [window] unless it is sealed; returns the sealed counts, or null if the store did not return them. */
    private suspend fun seal(window: Long): SealedUsage? {
        val counted = SealedUsage(counters.total(window).mapKeys { it.key.value })
        val create = StoreCall.Create(USAGE_WINDOWS, window.toString(), Json.encodeToString(counted))
        val outcome = call(create, STORE_TIMEOUT_MS)
        if (outcome.isOk) return counted
        val fault = outcome.error
        if (fault !is StoreCallError.Conflict) {
            log.warn { "usage window not sealed yet: window=$window fault=${fault.message}" }
            return null
        }
        return fault.current?.let { decode(window, it) } ?: readSealed(window)
    }

    private suspend fun readSealed(window: Long): SealedUsage? {
        val outcome = call(StoreCall.Read(USAGE_WINDOWS, window.toString()), STORE_TIMEOUT_MS)
        if (outcome.isErr) return null
        return (outcome.value as StoreResponse.Entry).entry?.let { decode(window, it) }
    }

    private fun decode(
        window: Long,
        entry: StoredEntry,
    ): SealedUsage? =
        try {
            Json.decodeFromString<SealedUsage>(entry.content)
        } catch (e: SerializationException) {
            log.error { "sealed usage unreadable: window=$window revision=${entry.revision} cause=${e.message}" }
            null
        }

    /** Deletes sealed windows that are too old to be sent again. */
    private suspend fun deleteOldWindows() {
        val outcome = call(StoreCall.ListAll(USAGE_WINDOWS), STORE_TIMEOUT_MS)
        if (outcome.isErr) return
        (outcome.value as StoreResponse.Listing)
            .entries
            .filter { (it.name.toLongOrNull() ?: 0) < nextWindow - RETAINED_WINDOWS }
            .forEach { call(StoreCall.Delete(USAGE_WINDOWS, it.name), STORE_TIMEOUT_MS) }
    }

    private companion object {
        /** The last counts arrive within one or two heartbeats; reports are due 10 s after the window's end. */
        const val SETTLE_DELAY_MS = 3_000L

        /**
         * Past windows that a new coordinator reports again, as it does not know whether they were reported. Reporting
         * the same counts again is harmless.
         */
        const val REPEATED_WINDOWS = 2
        const val RETAINED_WINDOWS = 24
        const val STORE_TIMEOUT_MS = 1_000L
        const val POLL_INTERVAL_MS = 200L
    }
}
