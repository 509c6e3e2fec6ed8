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

    /** Loads that engines can carry out in one second; a guess until one has been seen. */
    val perSecond: Double get() = limit * MS_PER_S / (if (aloneMs == Double.MAX_VALUE) GUESSED_MS else aloneMs)

    /** Takes in that a load took [tookMs] while [atOnce] ran all the time, itself included. */
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

        /** Reports come every 50 ms during a load of 0.9 s: differences of a tenth say nothing. */
        const val UNSLOWED = 1.12
        const val SLOWED = 1.3
        const val GUESSED_MS = 1_000.0
        const val MS_PER_S = 1_000.0
    }
}
