/*
 * Reports usage windows. The figures of a window are sealed in the store before they are sent, so whoever sends them
 * sends the same.
 */
package io.guavashore.edge.duties

import io.github.oshai.kotlinlogging.KotlinLogging
import io.guavashore.api.OrganisationId
import io.guavashore.platform.CallStore
import io.guavashore.platform.Collection
import io.guavashore.platform.StoreAnswer
import io.guavashore.platform.StoreCall
import io.guavashore.platform.StoreFault
import io.guavashore.platform.StoredEntry
import kotlinx.coroutines.delay
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

private val log = KotlinLogging.logger {}

/** Sealed windows by number. */
val USAGE_WINDOWS = Collection("usage-windows")

/** Figures of a window, fixed for good. */
@Serializable
data class SealedUsage(
    val requests: Map<String, Long>,
)

/** Usage reporter of the coordinator. */
class UsageDuty(
    private val book: UsageBook,
    private val port: CoordinatorPort,
    private val call: CallStore,
    private val right: () -> LeaseGrant?,
    private val trueTimeMs: () -> Long,
    private val windowMs: Long,
) {
    private var nextWindow = 0L

    /** Reports windows until cancelled. */
    suspend fun run() {
        nextWindow = book.windowAt(trueTimeMs()) - WINDOWS_REPEATED
        dropOld()
        while (true) {
            val dueMs = (nextWindow + 1) * windowMs + SETTLE_MS
            if (trueTimeMs() >= dueMs && report(nextWindow)) nextWindow++ else delay(LOOK_EVERY_MS)
        }
    }

    /** True once the window needs no more attention. */
    private suspend fun report(window: Long): Boolean {
        val sealed = seal(window) ?: return false
        val holder = right() ?: return false
        val report = UsageReport(window, sealed.requests.mapKeys { OrganisationId(it.key) })
        val outcome = port.reportUsage(report, holder)
        log.info {
            "usage reported: window=$window requests=${sealed.requests} outcome=$outcome fence=${holder.fencingNumber}"
        }
        if (outcome != PlatformCallOutcome.AGAIN) book.forgetBefore(window - WINDOWS_REPEATED)
        return outcome != PlatformCallOutcome.AGAIN
    }

    private suspend fun seal(window: Long): SealedUsage? {
        val counted = SealedUsage(book.total(window).mapKeys { it.key.value })
        val create = StoreCall.Create(USAGE_WINDOWS, window.toString(), Json.encodeToString(counted))
        val outcome = call(create, STORE_TIMEOUT_MS)
        if (outcome.isOk) return counted
        val fault = outcome.error
        if (fault !is StoreFault.Conflict) {
            log.warn { "usage window not sealed yet: window=$window fault=${fault.message}" }
            return null
        }
        return fault.current?.let { decode(window, it) } ?: readSealed(window)
    }

    private suspend fun readSealed(window: Long): SealedUsage? {
        val outcome = call(StoreCall.Read(USAGE_WINDOWS, window.toString()), STORE_TIMEOUT_MS)
        if (outcome.isErr) return null
        return (outcome.value as StoreAnswer.Entry).entry?.let { decode(window, it) }
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

    /** Sealed windows that nobody will send again are of no use. */
    private suspend fun dropOld() {
        val outcome = call(StoreCall.ListAll(USAGE_WINDOWS), STORE_TIMEOUT_MS)
        if (outcome.isErr) return
        (outcome.value as StoreAnswer.Listing)
            .entries
            .filter { (it.name.toLongOrNull() ?: 0) < nextWindow - WINDOWS_KEPT }
            .forEach { call(StoreCall.Delete(USAGE_WINDOWS, it.name), STORE_TIMEOUT_MS) }
    }

    private companion object {
        /** Counts of the window's last requests arrive within a pulse or two; reports are due 10 s after its end. */
        const val SETTLE_MS = 3_000L

        /** A new coordinator can't know whether these were sent; an exact repeat does no harm. */
        const val WINDOWS_REPEATED = 2
        const val WINDOWS_KEPT = 24
        const val STORE_TIMEOUT_MS = 1_000L
        const val LOOK_EVERY_MS = 200L
    }
}
