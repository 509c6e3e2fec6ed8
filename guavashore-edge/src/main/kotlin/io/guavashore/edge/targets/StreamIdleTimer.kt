/*
 * How long a stream has said nothing. Bytes that complete no event, and comments, are silence too: a server in trouble
 * may send them without end.
 */
package io.guavashore.edge.targets

import io.guavashore.api.MonotonicClock

/** Silence of one stream, from its head or its last event on. */
class StreamIdleTimer(
    private val clock: MonotonicClock,
) {
    private var sinceMs = clock()

    /** An event has come. */
    fun eventReceived() {
        sinceMs = clock()
    }

    /**
     * Time to wait for the next part of a stream that may be silent for [longestMs]; never 0, so that what has arrived
     * while this process stood still is read before the stream is judged.
     */
    fun waitMs(longestMs: Long): Long = maxOf(LEAST_WAIT_MS, sinceMs + longestMs - clock())

    /** True once the stream has been silent for longer than [longestMs]. */
    fun hasExceeded(longestMs: Long): Boolean = clock() - sinceMs > longestMs

    private companion object {
        const val LEAST_WAIT_MS = 1L
    }
}
