/*
 * How much memory the runs on one engine will take at most.
 *
 * Load pattern: lengths are skewed, and callers' estimates of them are often several times too high. A run takes its
 * memory token by token and gives all of it back at its end, and short runs end first. The sum of what all runs take at
 * their ends is therefore never needed at once; counted on, one long run keeps seven slots empty.
 */
package io.guavashore.edge.batches

/**
 * Run as its engine's memory sees it.
 *
 * @property heldTokens its prompt and what it has made
 * @property leftTokens what it is expected to make yet
 */
data class RunEstimate(
    val heldTokens: Int,
    val leftTokens: Int,
) {
    /** What it takes at its end. */
    val endTokens: Int get() = heldTokens + leftTokens
}

/**
 * Most memory that [runs] take together at one moment if each makes tokens at the same pace, in tokens. The peak comes
 * just before the end of one of them.
 */
fun peakTokens(runs: List<RunEstimate>): Int {
    var held = 0
    var peak = 0
    runs.sortedByDescending { it.leftTokens }.forEachIndexed { index, run ->
        held += run.heldTokens
        peak = maxOf(peak, held + (index + 1) * run.leftTokens)
    }
    return peak
}
