/*
 * Detects that the VM was suspended.
 *
 * The monotonic clock does not advance during a suspension, so a lease looks valid afterwards although it has expired.
 * The wall clock does advance. If the two diverge for any reason, the lease must be confirmed by the store again.
 */
package io.guavashore.edge.coordinator

import io.guavashore.api.MonotonicClock
import io.guavashore.api.WallClock

/** Compares the clocks of one process. Not thread-safe. */
class SuspensionDetector(
    private val clock: MonotonicClock,
    private val wallClock: WallClock,
) {
    private var offsetMs = wallClock() - clock()

    /** True if the clocks have diverged by more than [TOLERANCE_MS] since the last call. */
    fun hasClockJumped(): Boolean {
        val now = wallClock() - clock()
        val diverged = Math.abs(now - offsetMs) > TOLERANCE_MS
        offsetMs = now
        return diverged
    }

    private companion object {
        /** Far above the clock drift between two calls, and below the safety margin of the lease. */
        const val TOLERANCE_MS = 150L
    }
}
