/*
 * Speed of each target, measured on the requests that it has finished.
 */
package io.guavashore.routing

import io.guavashore.api.TargetId

/**
 * Exponential moving averages of work per millisecond. Not thread-safe.
 *
 * @param smoothing weight of the previous average, from 0 to 1
 */
class TargetSpeeds(
    private val smoothing: Double = 0.8,
) {
    private val workPerMs = HashMap<TargetId, Double>()

    /** Records that [target] completed [work] (such as tokens) in [elapsedMs]. Work below [MIN_WORK] is ignored. */
    fun record(
        target: TargetId,
        work: Int,
        elapsedMs: Long,
    ) {
        if (work < MIN_WORK || elapsedMs <= 0) return
        val current = work.toDouble() / elapsedMs
        workPerMs.merge(target, current) { average, _ -> average * smoothing + current * (1 - smoothing) }
    }

    /** Speed of [target] relative to the fastest one, from [MIN_RELATIVE_SPEED] to 1; 1 while it is unknown. */
    fun relative(target: TargetId): Double {
        val own = workPerMs[target] ?: return 1.0
        return maxOf(MIN_RELATIVE_SPEED, own / workPerMs.values.max())
    }

    /** As [relative], but null while the speed is unknown. */
    fun known(target: TargetId): Double? = if (target in workPerMs) relative(target) else null

    /** Removes all targets but [targets]. */
    fun retain(targets: Set<TargetId>) {
        workPerMs.keys.retainAll(targets)
    }

    private companion object {
        const val MIN_WORK = 8
        const val MIN_RELATIVE_SPEED = 0.05
    }
}
