/*
 * Reports windows of usage. Runs only on the holder of the reporter's lease; even if two processes believe that they
 * are, the conditional update that seals a window lets only one set of figures come to be.
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
    private val windowsKept: Int = 20,
) {
    /** Takes one step for each team. */
    suspend fun step(schedules: List<UsageSchedule>) {
        if (held() == null) return
        val counters = readCounters() ?: return
        schedules.forEach { step(it, counters) }
    }

    /**
     * Sends the team's oldest window that is not sent; if there is none or it can't be sent, seals the next one that
     * is due.
     */
    private suspend fun step(
        schedule: UsageSchedule,
        counters: List<UsageCounter>,
    ) {
        val path = teamWindowsPath(schedule.team)
        val found = store.read(path).getOrElse { return }
        val windows = found?.let { Json.decodeFromString<TeamWindows>(it.value) }?.windows.orEmpty()
        val version = found?.version ?: ObjectVersion.ABSENT
        val unsent = windows.firstOrNull { !it.sent }
        if (unsent != null && sendSealed(schedule.team, unsent, windows, version)) return
        val newest = windows.lastOrNull()?.report?.windowStartMs
        val next = nextWindowMs(schedule, counters, newest) ?: return
        if (wallClock() < next + schedule.windowMs + graceMs) return
        val sealed = seal(schedule, next, counters, windows) ?: return
        // Not sent from here: the next step reads back what was sealed, be it by this process or by another.
        val kept =
            windows.filterIndexed { index, window -> !window.sent || index >= windows.size - windowsKept } + sealed
        store.write(path, Json.encodeToString(TeamWindows(kept)), version)
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

    private fun seal(
        schedule: UsageSchedule,
        startMs: Long,
        counters: List<UsageCounter>,
        sealed: List<SealedWindow>,
    ): SealedWindow? {
        val lease = held() ?: return null
        val empty =
            UsageReport(
                team = schedule.team,
                windowStartMs = startMs,
                windowEndMs = startMs + schedule.windowMs,
                fencingNumber = lease.fencingNumber,
                lines = emptyList(),
            )
        return sealWindow(empty, counters, sealed).takeIf { it.report.lines.isNotEmpty() }
    }

    /** True if the report was taken and the windows were written anew. */
    private suspend fun sendSealed(
        team: TeamId,
        window: SealedWindow,
        windows: List<SealedWindow>,
        version: ObjectVersion,
    ): Boolean {
        val lease = held() ?: return false
        if (lease.untilMs - clock() < sendTimeoutMs) return false
        val outcome = withTimeoutOrNull(sendTimeoutMs) { send(window.report) } ?: return false
        return outcome
            .onSuccess {
                val marked = windows.map { if (it == window) it.copy(sent = true) else it }
                store.write(teamWindowsPath(team), Json.encodeToString(TeamWindows(marked)), version)
                log.info { "usage reported: $team, window ${window.report.windowStartMs}" }
            }.onFailure { log.warn { "usage not reported yet: ${it.message}" } }
            .isOk
    }

    private suspend fun readCounters(): List<UsageCounter>? {
        val zones = store.list(ZONE_USAGE_PREFIX).getOrElse { return null }
        return zones.flatMap { Json.decodeFromString<ZoneUsage>(it.value).counters }
    }
}
