/*
 * Limits the number of engines of a service that load weights concurrently.
 *
 * Up to an unknown number, concurrent loads do not slow each other down; beyond it, each load takes longer. The limit
 * is raised while loads at the limit take as long as the fastest load, and lowered when they take clearly longer.
 */
package io.guavashore.edge.weights

/** Adaptive limit of one service. Not thread-safe. */
class LoadConcurrencyLimit {
    private var fastestMs = Double.MAX_VALUE
    private var limit = MIN_LIMIT

    /** Number of loads that may run concurrently. */
    val current: Int get() = limit

    /** Loads that the engines can complete per second; assumes [DEFAULT_LOAD_MS] until a load has completed. */
    val perSecond: Double get() = limit * MS_PER_S / (if (fastestMs == Double.MAX_VALUE) DEFAULT_LOAD_MS else fastestMs)

    /** Records a load of [durationMs] during which at least [concurrent] loads were running, including itself. */
    fun onLoaded(
        durationMs: Long,
        concurrent: Int,
    ) {
        fastestMs = minOf(fastestMs, durationMs.toDouble())
        if (durationMs > fastestMs * LOWER_RATIO) limit = maxOf(MIN_LIMIT, minOf(limit, concurrent) - 1)
        if (durationMs < fastestMs * RAISE_RATIO && concurrent >= limit) limit++
    }

    private companion object {
        /** Lowest number of concurrent loads that operators specify for a service. */
        const val MIN_LIMIT = 2

        /** The engine is polled every 50 ms during a load of 0.9 s, so a difference of 10 % is not significant. */
        const val RAISE_RATIO = 1.12
        const val LOWER_RATIO = 1.3
        const val DEFAULT_LOAD_MS = 1_000.0
        const val MS_PER_S = 1_000.0
    }
}
