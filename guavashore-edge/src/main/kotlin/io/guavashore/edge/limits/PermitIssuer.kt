/*
 * Issues the permits for all VMs; runs on the coordinator. One schedule per target divides its rate exactly, however
 * many VMs there are, which of them have work, and however small the rate is.
 *
 * Load pattern: some VMs have most of the requests, and the coordinator itself sends all items. Requests that may wait
 * are given the next free time of a target; all others, among them the coordinator's own items, use what is free at
 * the moment.
 */
package io.guavashore.edge.limits

import io.github.oshai.kotlinlogging.KotlinLogging
import io.guavashore.api.MonotonicClock
import io.guavashore.api.TargetId

private val log = KotlinLogging.logger {}

/** Issuer of one term of the coordinator; its schedules start empty. Not thread-safe. */
class PermitIssuer(
    private val limits: TargetRateLimits,
    private val clock: MonotonicClock,
) {
    private class Schedule(
        val permits: PermitSchedule,
        /** Time from which further refused requests are told to return; each refusal moves it by one request. */
        var promisedMs: Long = 0,
    )

    private val schedules = HashMap<TargetId, Schedule>()
    private val recentStarts = RecentStarts()

    /** Time at which the last permit of an earlier term for a cold target has expired. */
    private val strictFromMs = clock() + StrictLimit.MAX_WAIT_MS + StrictLimit.VALIDITY_MS

    /** Number of requests that may be sent to [target] now. */
    fun available(target: TargetId): Int {
        val requestsPerS = limits.of(target)
        if (requestsPerS == null) {
            schedules.remove(target)
            return Int.MAX_VALUE
        }
        return schedule(target, requestsPerS).permits.available(clock())
    }

    /** Takes a permit for one request to [target] now; false if there is none. */
    fun take(target: TargetId): Boolean {
        val requestsPerS = limits.of(target)
        if (requestsPerS == null) {
            recentStarts.record(target, clock())
            return true
        }
        val permits = schedule(target, requestsPerS).permits
        if (permits.available(clock()) == 0) return false
        permits.take(clock())
        return true
    }

    /**
     * Decides on [request]: the candidate that has room first, the preferred one if several have. Cold targets are none
     * of the candidates unless this VM [holdsLease].
     */
    fun decide(
        request: PermitRequest,
        holdsLease: Boolean = true,
    ): PermitDecision {
        val now = clock()
        val unlimited = request.candidates.firstOrNull { rateOf(it) == null }
        if (unlimited != null) {
            recentStarts.record(unlimited.target, now)
            return PermitDecision.Granted(unlimited.target, waitMs = 0)
        }
        val byTime =
            request.candidates
                .filter { !isStrict(it) || holdsLease }
                .map { it to schedule(it) }
                .sortedBy { (_, schedule) -> schedule.permits.earliestMs(now) }
        if (byTime.isEmpty()) return refuseWithoutLease(request)
        val inTime =
            byTime.firstOrNull { (it, schedule) ->
                schedule.permits.earliestMs(now) - now <=
                    maxWaitMs(it, request)
            }
        if (inTime != null) {
            val (candidate, schedule) = inTime
            return PermitDecision.Granted(candidate.target, schedule.permits.take(now) - now)
        }
        val schedule = byTime.first().second
        val waitMs = schedule.permits.earliestMs(now) - now
        val promisedMs = maxOf(schedule.promisedMs, now + waitMs)
        schedule.promisedMs = minOf(promisedMs + schedule.permits.spacingMs, now + MAX_RETRY_AFTER_MS)
        val retryAfterMs = promisedMs - now
        log.info {
            "permit refused: targets=${byTime.map { it.first.target }} max_wait_ms=${request.maxWaitMs} " +
                "first_ms=$waitMs retry_after_ms=$retryAfterMs"
        }
        return PermitDecision.Refused(retryAfterMs)
    }

    private fun refuseWithoutLease(request: PermitRequest): PermitDecision {
        log.info { "permit refused, lease not held: targets=${request.candidates.map { it.target }}" }
        return PermitDecision.Refused(NO_LEASE_RETRY_AFTER_MS)
    }

    /** Rate of the candidate: as known here, else as the requesting VM knows it; null if there is no limit. */
    private fun rateOf(candidate: TargetRateLimit): Double? {
        val known = limits.of(candidate.target)
        val stated = candidate.requestsPerS
        return if (known != null && stated != null && candidate.isStrict) minOf(known, stated) else known ?: stated
    }

    /** True if the target is cold as far as this VM or the requesting one knows. */
    private fun isStrict(candidate: TargetRateLimit) = candidate.isStrict || limits.isStrict(candidate.target)

    private fun maxWaitMs(
        candidate: TargetRateLimit,
        request: PermitRequest,
    ) = if (isStrict(candidate)) minOf(request.maxWaitMs, StrictLimit.MAX_WAIT_MS) else request.maxWaitMs

    private fun schedule(candidate: TargetRateLimit): Schedule =
        schedule(candidate.target, requireNotNull(rateOf(candidate)), isStrict(candidate))

    private fun schedule(
        target: TargetId,
        requestsPerS: Double,
        isStrict: Boolean = limits.isStrict(target),
    ): Schedule {
        val now = clock()
        val schedule =
            schedules.getOrPut(target) {
                val freeFromMs = recentStarts.takeFreeFromMs(target, requestsPerS)
                val permits = PermitSchedule(requestsPerS, now, allowsBurst = !isStrict)
                if (isStrict) permits.startAt(freeFromMs)
                Schedule(permits)
            }
        schedule.permits.allowsBurst = !isStrict
        if (isStrict) schedule.permits.startAt(strictFromMs)
        schedule.permits.setRate(requestsPerS, now)
        return schedule
    }

    private companion object {
        /** Beyond this time, the limit may have changed or been lifted. */
        const val MAX_RETRY_AFTER_MS = 5_000L

        /** A lost lease is renewed or taken over within about this time. */
        const val NO_LEASE_RETRY_AFTER_MS = 1_000L
    }
}
