/*
 * Ejection of targets that fail again and again, with a floor on how many of a pool stay in.
 */
package io.guavashore.routing

import io.guavashore.api.TargetId

/** Failures of the targets of one pool. Not thread-safe. */
class OutlierEjection(
    private val failuresToEject: Int = 3,
    private val baseEjectionMs: Long = 2_000,
    private val longestEjectionMs: Long = 60_000,
    private val maxEjectedShare: Double = 0.5,
) {
    private class Record(
        var failuresInRow: Int = 0,
        var ejections: Int = 0,
        var ejectedUntilMs: Long = 0,
    )

    private val records = HashMap<TargetId, Record>()

    fun succeeded(target: TargetId) {
        records.remove(target)
    }

    /** Counts a failure; ejects the target if that leaves enough others among [poolSize]. */
    fun failed(
        target: TargetId,
        poolSize: Int,
        nowMs: Long,
    ) {
        val record = records.getOrPut(target) { Record() }
        record.failuresInRow++
        if (record.failuresInRow < failuresToEject || nowMs < record.ejectedUntilMs) return
        val ejected = records.values.count { nowMs < it.ejectedUntilMs }
        if (ejected + 1 > poolSize * maxEjectedShare) return
        val termMs = minOf(longestEjectionMs, baseEjectionMs shl minOf(record.ejections, MAX_DOUBLINGS))
        record.ejections++
        record.ejectedUntilMs = nowMs + termMs
    }

    fun isEjected(
        target: TargetId,
        nowMs: Long,
    ): Boolean = records[target]?.let { nowMs < it.ejectedUntilMs } ?: false

    /** Forgets targets that are gone. */
    fun retain(targets: Set<TargetId>) {
        records.keys.retainAll(targets)
    }

    private companion object {
        const val MAX_DOUBLINGS = 10
    }
}
