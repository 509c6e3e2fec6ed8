/*
 * Time of day that does not follow a single VM's clock.
 *
 * Load pattern: the clocks of up to a third of the VMs jump by seconds and back. Each VM hears its peers' time several
 * times a second; the median of all is right while most clocks are.
 */
package io.guavashore.edge.duties

import io.guavashore.api.MonotonicClock
import io.guavashore.api.VmId
import io.guavashore.api.WallClock

/** Median time of day. Not thread-safe. */
class TrueTime(
    private val wallClock: WallClock,
    private val clock: MonotonicClock,
) {
    private class Heard(
        val offsetMs: Long,
        val atMs: Long,
    )

    /** Difference between each peer's time of day and this VM's monotonic clock. */
    private val heard = HashMap<VmId, Heard>()

    fun onPulse(
        vm: VmId,
        wallMs: Long,
    ) {
        heard[vm] = Heard(wallMs - clock(), clock())
    }

    /** Milliseconds since the Unix epoch. */
    fun nowMs(): Long {
        val now = clock()
        heard.values.removeIf { now - it.atMs > KEEP_MS }
        val offsets = heard.values.mapTo(ArrayList()) { it.offsetMs }
        offsets += wallClock() - now
        offsets.sort()
        return now + offsets[offsets.size / 2]
    }

    private companion object {
        /** A peer that has been silent for longer says nothing about the present. */
        const val KEEP_MS = 5_000L
    }
}
