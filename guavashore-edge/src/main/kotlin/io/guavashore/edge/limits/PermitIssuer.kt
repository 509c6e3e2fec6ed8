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
        val requestsPerS = limits.of(target) ?: return true
        val permits = schedule(target, requestsPerS).permits
        if (permits.available(clock()) == 0) return false
        permits.take(clock())
        return true
    }

    /** Decides on [request]: the candidate that has room first, the preferred one if several have. */
    fun decide(request: PermitRequest): PermitDecision {
        val now = clock()
        val rates = request.candidates.mapNotNull { candidate -> rateOf(candidate)?.let { candidate.target to it } }
        val unlimited = request.candidates.firstOrNull { rateOf(it) == null }
        if (unlimited != null) return PermitDecision.Granted(unlimited.target, waitMs = 0)
        val (target, requestsPerS) =
            rates.minByOrNull { (target, rate) -> schedule(target, rate).permits.earliestMs(now) }
                ?: return PermitDecision.Refused(MAX_RETRY_AFTER_MS)
        val schedule = schedule(target, requestsPerS)
        val waitMs = schedule.permits.earliestMs(now) - now
        if (waitMs <= request.maxWaitMs) {
            schedule.permits.take(now)
            return PermitDecision.Granted(target, waitMs)
        }
        val promisedMs = maxOf(schedule.promisedMs, now + waitMs)
        schedule.promisedMs = minOf(promisedMs + schedule.permits.spacingMs, now + MAX_RETRY_AFTER_MS)
        val retryAfterMs = promisedMs - now
        log.info {
            "permit refused: targets=${rates.map { it.first }} max_wait_ms=${request.maxWaitMs} " +
                "first_ms=$waitMs retry_after_ms=$retryAfterMs"
        }
        return PermitDecision.Refused(retryAfterMs)
    }

    /** Rate of the candidate: as known here, else as the requesting VM knows it; null if there is no limit. */
    private fun rateOf(candidate: TargetRateLimit): Double? = limits.of(candidate.target) ?: candidate.requestsPerS

    private fun schedule(
        target: TargetId,
        requestsPerS: Double,
    ): Schedule {
        val now = clock()
        val schedule = schedules.getOrPut(target) { Schedule(PermitSchedule(requestsPerS, now)) }
        schedule.permits.setRate(requestsPerS, now)
        return schedule
    }

    private companion object {
        /** Beyond this time, the limit may have changed or been lifted. */
        const val MAX_RETRY_AFTER_MS = 5_000L
    }
}
