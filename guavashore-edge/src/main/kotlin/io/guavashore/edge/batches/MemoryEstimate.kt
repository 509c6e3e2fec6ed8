/*
 * Estimates the peak memory of the runs on one engine.
 *
 * Lengths are skewed, and callers' estimates are often several times too high. A run allocates memory token by token
 * and frees all of it when it ends, and short runs end first. The sum of the final sizes of all runs is therefore never
 * needed at once; if it were reserved, one long run could keep seven slots empty.
 */
package io.guavashore.edge.batches

/**
 * Memory estimate of one run, in tokens.
 *
 * @property currentTokens tokens of the prompt and of the output so far
 * @property remainingTokens expected tokens still to be generated
 */
data class MemoryEstimate(
    val currentTokens: Int,
    val remainingTokens: Int,
) {
    /** Tokens in memory when the run ends. */
    val finalTokens: Int get() = currentTokens + remainingTokens
}

/**
 * Maximum number of tokens that [runs] hold in memory at the same time, if all of them generate at the same speed. The
 * maximum is reached just before one of the runs ends.
 */
fun peakTokens(runs: List<MemoryEstimate>): Int {
    var current = 0
    var peak = 0
    runs.sortedByDescending { it.remainingTokens }.forEachIndexed { index, run ->
        current += run.currentTokens
        peak = maxOf(peak, current + (index + 1) * run.remainingTokens)
    }
    return peak
}
