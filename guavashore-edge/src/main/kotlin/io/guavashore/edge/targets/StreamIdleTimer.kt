/*
 * Idle time of a stream. Only complete events count as activity: a faulty server may send comments, or bytes that never
 * complete an event, without end.
 */
package io.guavashore.edge.targets

import io.guavashore.api.MonotonicClock

/** Measures the idle time of one stream, from the head of the response or from the last event. */
class StreamIdleTimer(
    private val clock: MonotonicClock,
) {
    private var lastEventAtMs = clock()

    /** Restarts the idle time after an event. */
    fun eventReceived() {
        lastEventAtMs = clock()
    }

    /**
     * Returns the time to wait for the next part of a stream whose idle timeout is [timeoutMs]. The result is never 0,
     * so that parts that arrived while this process was suspended are read before the stream is given up.
     */
    fun waitMs(timeoutMs: Long): Long = maxOf(MIN_WAIT_MS, lastEventAtMs + timeoutMs - clock())

    /** True once the stream has been idle for longer than [timeoutMs]. */
    fun hasExceeded(timeoutMs: Long): Boolean = clock() - lastEventAtMs > timeoutMs

    private companion object {
        const val MIN_WAIT_MS = 1L
    }
}
