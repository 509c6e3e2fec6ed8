/*
 * Pace of each engine, from the gaps between the events of its runs.
 *
 * Load pattern: an engine turns three to four times slower for some seconds without a word. A gap is a sample of the
 * pace of all runs on it, so a dozen runs show the change within a few hundred milliseconds.
 */
package io.guavashore.edge.batches

import io.guavashore.api.TargetId

/** Paces of all engines. Not thread-safe. */
class EnginePace(
    /** Weight of a new gap; with ten runs on an engine, a change shows after two or three events of each. */
    private val smoothing: Double = 0.12,
) {
    private val msPerEvent = HashMap<TargetId, Double>()

    /** Milliseconds per event of one run on [engine]; null until measured. */
    fun of(engine: TargetId): Double? = msPerEvent[engine]

    fun record(
        engine: TargetId,
        gapMs: Double,
    ) {
        msPerEvent.merge(engine, gapMs) { average, gap ->
            average + smoothing * (gap.coerceAtMost(average * LARGEST_STEP) - average)
        }
    }

    /** Time without an event after which a run on [engine] counts as lost. */
    fun longestSilenceMs(engine: TargetId): Long {
        val pace = msPerEvent[engine] ?: return FIRST_SILENCE_MS
        return (pace * SILENT_EVENTS).toLong().coerceIn(LEAST_SILENCE_MS, FIRST_SILENCE_MS)
    }

    /** Forgets engines that are gone. */
    fun retain(engines: Set<TargetId>) {
        msPerEvent.keys.retainAll(engines)
    }

    private companion object {
        /** One long gap (a preemption, a held-up packet) counts for six usual ones at most. */
        const val LARGEST_STEP = 6.0
        const val SILENT_EVENTS = 15

        /** A load of weights pauses runs for 0.9 s and more; silence must outlast it. */
        const val LEAST_SILENCE_MS = 1_500L
        const val FIRST_SILENCE_MS = 3_000L
    }
}
