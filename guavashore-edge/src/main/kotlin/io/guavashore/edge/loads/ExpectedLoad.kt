/*
 * Load that targets are expected to have now, from reports of different ages.
 *
 * Load pattern: a target is disturbed by its neighbours for half a second. A report of some tens of milliseconds tells
 * of it, one of seconds does not. Both good and bad news therefore fade with age: first toward the mean of the
 * service's targets, and to what is usual once no target has been heard of.
 */
package io.guavashore.edge.loads

import io.guavashore.api.TargetId
import io.guavashore.edge.declared.TargetEntry
import kotlin.math.pow

/**
 * Load that a target is expected to have.
 *
 * @property requests requests that run and wait, those of this VM included
 * @property slowdown duration of work relative to the usual one; 1.0 is as usual
 * @property ageMs age of the newest report; null if there is none
 */
internal data class ExpectedLoad(
    val target: TargetEntry,
    val requests: Double,
    val slowdown: Double,
    val ageMs: Long?,
) {
    private val slots get() = target.slots.coerceAtLeast(1)

    /** Expected time until one more request is completed, in durations of an undisturbed one. */
    val completion: Double get() = slowdown * (1 + requests / slots)

    /** Slots that are free, fewer if the target is slow; above 0 also for a full one. */
    val freeCapacity: Double get() = maxOf(slots - requests, MIN_FREE_SLOTS) / slowdown

    val isFull: Boolean get() = requests >= slots

    override fun toString() =
        "${target.id}: requests=${"%.1f".format(requests)}/$slots slowdown=${"%.2f".format(slowdown)} age_ms=$ageMs"

    private companion object {
        /** A full target is drawn seldom, but its report may be out of date. */
        const val MIN_FREE_SLOTS = 0.1
    }
}

/** Returns the load expected of each of [targets]; [inFlight] counts this VM's requests. */
internal fun LoadReports.expected(
    targets: List<TargetEntry>,
    inFlight: (TargetId) -> Int,
    nowMs: Long,
): List<ExpectedLoad> {
    val means = targets.map { it.service }.distinct().associateWith { Mean() }
    targets.forEach { target ->
        of(target)?.let { means.getValue(target.service).add(it, weight(nowMs - it.receivedAtMs)) }
    }
    return targets.map { target ->
        val mean = means.getValue(target.service)
        val report = of(target)
        val ageMs = report?.let { maxOf(0, nowMs - it.receivedAtMs) }
        val weight = ageMs?.let(::weight) ?: 0.0
        val others = weight * (report?.requestsOfOthers ?: 0) + (1 - weight) * mean.requestsOfOthers
        val slowdown = weight * (report?.slowdown ?: USUAL) + (1 - weight) * mean.slowdown
        ExpectedLoad(target, inFlight(target.id) + others, slowdown, ageMs)
    }
}

/** Mean of the reports of a service, weighted by age; what is usual counts as one old report. */
private class Mean {
    private var weightSum = USUAL_WEIGHT
    private var requestSum = 0.0
    private var slowdownSum = USUAL * USUAL_WEIGHT

    val requestsOfOthers: Double get() = requestSum / weightSum
    val slowdown: Double get() = slowdownSum / weightSum

    fun add(
        report: LoadReport,
        weight: Double,
    ) {
        weightSum += weight
        requestSum += weight * report.requestsOfOthers
        slowdownSum += weight * report.slowdown
    }
}

private val LoadReport.requestsOfOthers: Int get() = maxOf(0, requests - ownRequests)

private val LoadReport.slowdown: Double get() = (load.slowdown ?: USUAL).coerceIn(MIN_SLOWDOWN, MAX_SLOWDOWN)

private fun weight(ageMs: Long): Double = 0.5.pow(maxOf(0, ageMs) / HALF_LIFE_MS)

private const val USUAL = 1.0
private const val USUAL_WEIGHT = 0.2
private const val MIN_SLOWDOWN = 0.1
private const val MAX_SLOWDOWN = 100.0

/** Work of tens of milliseconds comes and goes within this time, and so does half of a passing disturbance. */
private const val HALF_LIFE_MS = 200.0
