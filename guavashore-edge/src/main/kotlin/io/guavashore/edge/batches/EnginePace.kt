/*
 * Tracks the pace of each engine: a moving average of the time between two events of a run.
 *
 * Engines may become three to four times slower for some seconds without reporting it. All runs on an engine share its
 * pace and each gap is a sample of it, so a dozen runs show the change within a few hundred milliseconds.
 */
package io.guavashore.edge.batches

import io.guavashore.api.TargetId

/** Moving average of the time between events, per engine. Not thread-safe. */
class EnginePace(
    /** Weight of a new sample. With ten runs on an engine, a change shows after two or three events of each run. */
    private val smoothing: Double = 0.12,
) {
    private val msPerEvent = HashMap<TargetId, Double>()

    /** Mean time between events of one run on [engine], in milliseconds; null until measured. */
    fun of(engine: TargetId): Double? = msPerEvent[engine]

    /** Adds a sample: the time between two events of one run on [engine]. */
    fun record(
        engine: TargetId,
        gapMs: Double,
    ) {
        msPerEvent.merge(engine, gapMs) { average, gap ->
            average + smoothing * (gap.coerceAtMost(average * MAX_GAP_RATIO) - average)
        }
    }

    /** Time without an event after which a run on [engine] is considered lost. */
    fun maxSilenceMs(engine: TargetId): Long {
        val meanMs = msPerEvent[engine] ?: return MAX_SILENCE_MS
        return (meanMs * SILENCE_IN_EVENTS).toLong().coerceIn(MIN_SILENCE_MS, MAX_SILENCE_MS)
    }

    /** Discards the averages of all engines except [engines]. */
    fun retain(engines: Set<TargetId>) {
        msPerEvent.keys.retainAll(engines)
    }

    private companion object {
        /** A single long gap (a preemption, a delayed packet) counts as six times the average at most. */
        const val MAX_GAP_RATIO = 6.0

        /** A run that misses this many events at the engine's average pace is considered lost. */
        const val SILENCE_IN_EVENTS = 15

        /** Loading weights pauses runs for 0.9 s and more; the minimum must be longer than that. */
        const val MIN_SILENCE_MS = 1_500L

        /** Maximum, which also applies to engines without measurements. */
        const val MAX_SILENCE_MS = 3_000L
    }
}
