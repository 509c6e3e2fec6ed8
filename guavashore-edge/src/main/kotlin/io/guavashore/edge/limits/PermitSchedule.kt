/*
 * Schedule of the requests to one target that limits their rate.
 *
 * Load pattern: all VMs together want to send several times the rate that the target takes, in bursts (the items of a
 * step) and one by one. The schedule spaces requests evenly and allows a short burst after a pause, as the generic
 * cell rate algorithm does. It starts without a burst, since requests were sent freely before the limit was known.
 */
package io.guavashore.edge.limits

import kotlin.math.ceil

/**
 * Schedule for [requestsPerS] requests per second, from [nowMs]. Not thread-safe; does no I/O.
 *
 * @property allowsBurst false if requests are spaced evenly also after a pause
 */
class PermitSchedule(
    requestsPerS: Double,
    nowMs: Long,
    var allowsBurst: Boolean = true,
) {
    private var rate = effectiveRate(requestsPerS)
    private val intervalMs: Double get() = MS_PER_S / rate

    /** Time between two requests, in milliseconds. */
    val spacingMs: Long get() = intervalMs.toLong()
    private val toleranceMs: Double get() = (burst() - 1) * intervalMs

    /** Time of the next request if all requests are spaced evenly; a burst may be earlier by the tolerance. */
    private var nextMs = nowMs + intervalMs + toleranceMs

    /** Changes the rate. Time that is already assigned keeps its number of requests. */
    fun setRate(
        requestsPerS: Double,
        nowMs: Long,
    ) {
        val changed = effectiveRate(requestsPerS)
        if (changed == rate) return
        val assignedMs = maxOf(0.0, nextMs - nowMs)
        val assigned = assignedMs / intervalMs
        rate = changed
        nextMs = nowMs + minOf(assigned * intervalMs, assignedMs + MAX_DEBT_MS)
    }

    /** Assigns no request before [timeMs]. */
    fun startAt(timeMs: Long) {
        nextMs = maxOf(nextMs, timeMs + toleranceMs)
    }

    /** Number of requests that may be sent at [nowMs]. */
    fun available(nowMs: Long): Int {
        val earliest = earliestMs(nowMs)
        if (earliest > nowMs) return 0
        return ((nowMs + toleranceMs - maxOf(nextMs, nowMs.toDouble())) / intervalMs).toInt() + 1
    }

    /** Earliest time at which a further request may be sent. */
    fun earliestMs(nowMs: Long): Long = maxOf(nowMs, ceil(nextMs - toleranceMs).toLong())

    /** Assigns the next request and returns the time at which it may be sent. */
    fun take(nowMs: Long): Long {
        val atMs = earliestMs(nowMs)
        nextMs = maxOf(nextMs, atMs.toDouble()) + intervalMs
        return atMs
    }

    private fun burst(): Double = if (allowsBurst) maxOf(1.0, rate * MAX_BURST_S) else 1.0

    private companion object {
        const val MS_PER_S = 1_000.0

        /** Requests that may follow a pause at once, as time at the limited rate. */
        const val MAX_BURST_S = 0.25

        /** Pause beyond the assigned times if a lower rate has room for fewer requests than are assigned already. */
        const val MAX_DEBT_MS = 2_000.0
    }
}

/** Rate at which requests are sent to a target that takes [requestsPerS]. */
internal fun effectiveRate(requestsPerS: Double): Double = maxOf(requestsPerS, MIN_RATE)

/** A target that takes no requests is still asked now and then: only a response tells that the limit is over. */
private const val MIN_RATE = 0.25
