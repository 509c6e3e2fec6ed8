/*
 * Requests that were sent to targets without a limit within the last second.
 *
 * Load pattern: a step's items start on an engine that turns cold a moment later. They count against what the engine
 * bears in that second, so its schedule begins once they leave room.
 */
package io.guavashore.edge.limits

import io.guavashore.api.TargetId

/** Start times by target. Not thread-safe; does no I/O. */
internal class RecentStarts {
    private val startsMs = HashMap<TargetId, ArrayDeque<Long>>()

    fun record(
        target: TargetId,
        nowMs: Long,
    ) {
        val starts = startsMs.getOrPut(target) { ArrayDeque() }
        while (starts.isNotEmpty() && starts.first() <= nowMs - WINDOW_MS) starts.removeFirst()
        starts.addLast(nowMs)
    }

    /** Forgets the starts on [target] and returns the time from which it may get [requestsPerS] requests per second. */
    fun takeFreeFromMs(
        target: TargetId,
        requestsPerS: Double,
    ): Long {
        val starts = startsMs.remove(target) ?: return 0
        val intervalMs = WINDOW_MS / effectiveRate(requestsPerS)
        val spacedMs = starts.fold(0.0) { nextMs, startMs -> maxOf(nextMs, startMs.toDouble()) + intervalMs }
        return minOf(spacedMs.toLong(), starts.last() + WINDOW_MS)
    }

    private companion object {
        const val WINDOW_MS = 1_000L
    }
}
