/*
 * Seals windows of usage and reports them. Runs only on the holder of the reporter's lease. Even if two processes both
 * treat the lease as theirs, the conditional update that seals a window lets only one version of its amounts exist.
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

/** Team, and the length of its usage windows. */
data class UsageSchedule(
    val team: TeamId,
    val windowMs: Long,
)

/**
 * Reports the usage of all teams.
 *
 * @param held returns the held lease, or null if it is not held
 * @param graceMs time after a window's end in which late counters still count towards it
 * @param maxSentWindows limit of windows kept after they were sent; unsent windows are always kept
 */
class UsageReporter(
    private val store: ObjectStore,
    private val send: SendUsage,
    private val held: () -> HeldLease?,
    private val wallClock: WallClock,
    private val clock: MonotonicClock,
    private val graceMs: Long = 10_000,
    private val sendTimeoutMs: Long = 2_000,
    private val maxSentWindows: Int = 20,
) {
    /** Sends or seals at most one window of each team. Does nothing unless the lease is held. */
    suspend fun step(schedules: List<UsageSchedule>) {
        if (held() == null) return
        val counters = readCounters() ?: return
        schedules.forEach { step(it, counters) }
    }

    /**
     * Sends the team's oldest unsent window. If there is none or it could not be sent, seals the next window that is
     * due.
     */
    private suspend fun step(
        schedule: UsageSchedule,
        counters: List<UsageCounter>,
    ) {
        val path = teamWindowsPath(schedule.team)
        val stored = store.read(path).getOrElse { return }
        val windows = stored?.let { Json.decodeFromString<TeamWindows>(it.value) }?.windows.orEmpty()
        val version = stored?.version ?: ObjectVersion.ABSENT
        val unsent = windows.firstOrNull { !it.sent }
        if (unsent != null && sendSealed(schedule.team, unsent, windows, version)) return
        val newestStartMs = windows.lastOrNull()?.report?.windowStartMs
        val next = nextWindowStartMs(schedule, counters, newestStartMs) ?: return
        if (wallClock() < next + schedule.windowMs + graceMs) return
        val sealed = seal(schedule, next, counters, windows) ?: return
        // Not sent here: the next step reads which window was sealed, by this process or by another.
        val retained =
            windows.filterIndexed { index, window -> !window.sent || index >= windows.size - maxSentWindows } + sealed
        store.write(path, Json.encodeToString(TeamWindows(retained)), version)
    }

    /**
     * Start of the next window to seal: the first one with usage after [newestStartMs], the start of the newest sealed
     * window. If there is none but counters of sealed windows are known, which may include late usage, the window that
     * follows the newest sealed one.
     */
    private fun nextWindowStartMs(
        schedule: UsageSchedule,
        counters: List<UsageCounter>,
        newestStartMs: Long?,
    ): Long? {
        val unsealed =
            counters.filter {
                it.key.team == schedule.team && it.key.windowStartMs > (newestStartMs ?: Long.MIN_VALUE)
            }
        val followingStartMs = newestStartMs?.let { it + schedule.windowMs }
        return unsealed.minOfOrNull { it.key.windowStartMs }
            ?: followingStartMs?.takeIf { mayHaveLateUsage(schedule, counters, newestStartMs) }
    }

    private fun mayHaveLateUsage(
        schedule: UsageSchedule,
        counters: List<UsageCounter>,
        newestStartMs: Long,
    ) = counters.any { it.key.team == schedule.team && it.key.windowStartMs <= newestStartMs }

    private fun seal(
        schedule: UsageSchedule,
        startMs: Long,
        counters: List<UsageCounter>,
        sealed: List<SealedWindow>,
    ): SealedWindow? {
        val lease = held() ?: return null
        val emptyReport =
            UsageReport(
                team = schedule.team,
                windowStartMs = startMs,
                windowEndMs = startMs + schedule.windowMs,
                fencingNumber = lease.fencingNumber,
                lines = emptyList(),
            )
        return sealWindow(emptyReport, counters, sealed).takeIf { it.report.lines.isNotEmpty() }
    }

    /** Returns true if the report was accepted; the window is then marked as sent. */
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
            }.onFailure { log.warn { "usage report failed, next step tries again: ${it.message}" } }
            .isOk
    }

    private suspend fun readCounters(): List<UsageCounter>? {
        val zones = store.list(ZONE_USAGE_PREFIX).getOrElse { return null }
        return zones.flatMap { Json.decodeFromString<ZoneUsage>(it.value).counters }
    }
}
