/*
 * How many engines may load at once.
 *
 * Load pattern: up to some number, which nobody tells, loads do not slow each other; beyond it each takes longer. The
 * limit rises while loads at the limit take as long as one alone, and falls when they take clearly longer.
 */
package io.guavashore.edge.weights

/** Limit of one service. Not thread-safe. */
class LoadLimit {
    private var aloneMs = Double.MAX_VALUE
    private var limit = LEAST

    /** Loads that may run at once. */
    val current: Int get() = limit

    /** Takes in that a load took [tookMs] while [atOnce] ran, itself included. */
    fun onLoaded(
        tookMs: Long,
        atOnce: Int,
    ) {
        aloneMs = minOf(aloneMs, tookMs.toDouble())
        if (tookMs > aloneMs * SLOWED) limit = maxOf(LEAST, minOf(limit, atOnce) - 1)
        if (tookMs < aloneMs * UNSLOWED && atOnce >= limit) limit++
    }

    private companion object {
        /** The smallest number that operators have named. */
        const val LEAST = 2

        /** Reports come every 150 ms during a load of 0.9 s: differences below a sixth say nothing. */
        const val UNSLOWED = 1.17
        const val SLOWED = 1.4
    }
}
