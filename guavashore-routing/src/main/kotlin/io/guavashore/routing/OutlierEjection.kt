/*
 * Temporary ejection of targets that fail repeatedly. A minimum share of the pool always stays in use.
 */
package io.guavashore.routing

import io.guavashore.api.TargetId

/**
 * Outlier ejection for one pool. Not thread-safe.
 *
 * @param failuresToEject consecutive failures after which a target is ejected
 * @param baseEjectionMs duration of the first ejection; doubled with each further one, up to [maxEjectionMs]
 * @param maxEjectedShare maximum share of the pool that is ejected at the same time
 */
class OutlierEjection(
    private val failuresToEject: Int = 3,
    private val baseEjectionMs: Long = 2_000,
    private val maxEjectionMs: Long = 60_000,
    private val maxEjectedShare: Double = 0.5,
) {
    private class Record(
        var consecutiveFailures: Int = 0,
        var ejections: Int = 0,
        var ejectedUntilMs: Long = 0,
    )

    private val records = HashMap<TargetId, Record>()

    fun recordSuccess(target: TargetId) {
        records.remove(target)
    }

    /**
     * Counts a failure of [target] and ejects it if it has failed often enough and [maxEjectedShare] allows it.
     *
     * @param poolSize number of targets in the pool, ejected ones included
     */
    fun recordFailure(
        target: TargetId,
        poolSize: Int,
        nowMs: Long,
    ) {
        val record = records.getOrPut(target) { Record() }
        record.consecutiveFailures++
        if (record.consecutiveFailures < failuresToEject || nowMs < record.ejectedUntilMs) return
        val ejected = records.values.count { nowMs < it.ejectedUntilMs }
        if (ejected + 1 > poolSize * maxEjectedShare) return
        val ejectionMs = minOf(maxEjectionMs, baseEjectionMs shl minOf(record.ejections, MAX_DOUBLINGS))
        record.ejections++
        record.ejectedUntilMs = nowMs + ejectionMs
    }

    fun isEjected(
        target: TargetId,
        nowMs: Long,
    ): Boolean = records[target]?.let { nowMs < it.ejectedUntilMs } ?: false

    /** Removes the failure counts of all targets but [targets]. */
    fun retain(targets: Set<TargetId>) {
        records.keys.retainAll(targets)
    }

    private companion object {
        const val MAX_DOUBLINGS = 10
    }
}
