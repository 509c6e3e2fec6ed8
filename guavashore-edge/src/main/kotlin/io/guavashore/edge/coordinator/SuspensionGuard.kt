/*
 * Notices that the VM has stood still.
 *
 * The monotonic clock does not count a suspension, so a lease looks valid after one although its term has passed. The
 * time of day does count it. A jump between the two, for whatever reason, means that the lease must be proved again.
 */
package io.guavashore.edge.coordinator

import io.guavashore.api.MonotonicClock
import io.guavashore.api.WallClock

/** Guard of one process. Not thread-safe. */
class SuspensionGuard(
    private val clock: MonotonicClock,
    private val wallClock: WallClock,
) {
    private var offsetMs = wallClock() - clock()

    /** True if the clocks have moved against each other since the last call. */
    fun jumped(): Boolean {
        val now = wallClock() - clock()
        val moved = Math.abs(now - offsetMs) > TOLERANCE_MS
        offsetMs = now
        return moved
    }

    private companion object {
        /** Far above the drift between two looks, and below the margin of the lease. */
        const val TOLERANCE_MS = 150L
    }
}
