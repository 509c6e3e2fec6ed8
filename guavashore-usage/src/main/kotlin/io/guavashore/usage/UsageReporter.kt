/*
 * Reports windows of usage. Runs only on the holder of the reporter's lease; even if two processes believe that they
 * are, the conditional create of the sealed window lets only one set of figures come to be.
 */
package io.guavashore.usage

import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import io.github.oshai.kotlinlogging.KotlinLogging
import io.guavashore.api.MonotonicClock
import io.guavashore.api.TeamId
import io.guavashore.api.UsageCounter
import io.guavashore.api.WallClock
import io.guavashore.leases.HeldLease
import io.guavashore.platform.ObjectStore
import io.guavashore.platform.ObjectVersion
import io.guavashore.platform.SendUsage
import io.guavashore.platform.StoredObject
import io.guavashore.platform.UsageReport
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.Json

private val log = KotlinLogging.logger {}

/** Team and the length of its usage windows. */
data class UsageSchedule(
    val team: TeamId,
    val windowMs: Long,
)

/** Reports of all teams. */
class UsageReporter(
    private val store: ObjectStore,
    private val send: SendUsage,
    private val held: () -> HeldLease?,
    private val wallClock: WallClock,
    private val clock: MonotonicClock,
    private val graceMs: Long = 10_000,
    private val sendTimeoutMs: Long = 2_000,
    private val windowsKept: Int = 10,
) {
    /** Seals the windows that are due and sends what is sealed but not sent. */
    suspend fun step(schedules: List<UsageSchedule>) {
        if (held() == null) return
        val counters = readCounters() ?: return
        schedules.forEach { step(it, counters) }
    }

    private suspend fun step(
        schedule: UsageSchedule,
        counters: List<UsageCounter>,
    ) {
        val stored = store.list(sealedPrefix(schedule.team)).getOrElse { return }
        val sealed =
            stored
                .map {
                    it to Json.decodeFromString<SealedWindow>(it.value)
                }.sortedBy { it.second.report.windowStartMs }
        sealed.filterNot { it.second.sent }.forEach { (found, window) -> sendSealed(found, window) }
        val newest =
            sealed
                .lastOrNull()
                ?.second
                ?.report
                ?.windowStartMs
        val next = nextWindowMs(schedule, counters, newest) ?: return
        if (wallClock() < next + schedule.windowMs + graceMs) return
        seal(schedule, next, counters, sealed.takeLast(windowsKept).map { it.second })
    }

    /** First window with usage after the [newest] sealed one, or the one after it if that is long over. */
    private fun nextWindowMs(
        schedule: UsageSchedule,
        counters: List<UsageCounter>,
        newest: Long?,
    ): Long? {
        val open = counters.filter { it.key.team == schedule.team && it.key.windowStartMs > (newest ?: Long.MIN_VALUE) }
        val late = newest?.let { it + schedule.windowMs }
        return open.minOfOrNull { it.key.windowStartMs } ?: late?.takeIf { hasLateUsage(schedule, counters, newest) }
    }

    private fun hasLateUsage(
        schedule: UsageSchedule,
        counters: List<UsageCounter>,
        newest: Long,
    ) = counters.any { it.key.team == schedule.team && it.key.windowStartMs <= newest }

    private suspend fun seal(
        schedule: UsageSchedule,
        startMs: Long,
        counters: List<UsageCounter>,
        sealed: List<SealedWindow>,
    ) {
        val lease = held() ?: return
        val empty =
            UsageReport(
                team = schedule.team,
                windowStartMs = startMs,
                windowEndMs = startMs + schedule.windowMs,
                fencingNumber = lease.fencingNumber,
                lines = emptyList(),
            )
        val window = sealWindow(empty, counters, sealed)
        if (window.report.lines.isEmpty()) return
        val path = sealedPath(schedule.team, startMs)
        // Not sent from here: the next step reads back what was sealed, be it by this process or by another.
        store.write(path, Json.encodeToString(window), ObjectVersion.ABSENT)
    }

    private suspend fun sendSealed(
        found: StoredObject,
        window: SealedWindow,
    ) {
        val lease = held() ?: return
        if (lease.untilMs - clock() < sendTimeoutMs) return
        val report = window.report
        val outcome = withTimeoutOrNull(sendTimeoutMs) { send(report) } ?: return
        outcome
            .onSuccess {
                store.write(found.path, Json.encodeToString(window.copy(sent = true)), found.version)
                log.info { "usage reported: ${report.team}, window ${report.windowStartMs}" }
            }.onFailure { log.warn { "usage not reported yet: ${it.message}" } }
    }

    private suspend fun readCounters(): List<UsageCounter>? {
        val zones = store.list(ZONE_USAGE_PREFIX).getOrElse { return null }
        return zones.flatMap { Json.decodeFromString<ZoneUsage>(it.value).counters }
    }
}
