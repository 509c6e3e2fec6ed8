/*
 * How fast each target works, from the requests that it finished.
 */
package io.guavashore.routing

import io.guavashore.api.TargetId

/** Averages of work per millisecond. Not thread-safe. */
class TargetSpeeds(
    private val smoothing: Double = 0.8,
) {
    private val perMs = HashMap<TargetId, Double>()

    /** Records that [target] did [work] (tokens, say) in [elapsedMs]. */
    fun record(
        target: TargetId,
        work: Int,
        elapsedMs: Long,
    ) {
        if (work < LEAST_WORK || elapsedMs <= 0) return
        val now = work.toDouble() / elapsedMs
        perMs.merge(target, now) { average, _ -> average * smoothing + now * (1 - smoothing) }
    }

    /** Speed of [target] against the fastest one, above 0 and at most 1; 1 while nothing is known. */
    fun relative(target: TargetId): Double {
        val own = perMs[target] ?: return 1.0
        return maxOf(LEAST_SPEED, own / perMs.values.max())
    }

    /** As [relative], but null while nothing is known. */
    fun known(target: TargetId): Double? = if (target in perMs) relative(target) else null

    /** Forgets targets that are gone. */
    fun retain(targets: Set<TargetId>) {
        perMs.keys.retainAll(targets)
    }

    private companion object {
        const val LEAST_WORK = 8
        const val LEAST_SPEED = 0.05
    }
}
