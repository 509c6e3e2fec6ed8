/*
 * Wall-clock time that tolerates faulty clocks on single VMs.
 *
 * The clocks of up to a third of the VMs may jump by seconds and back. Each VM receives its peers' time in heartbeats,
 * several times a second; the median is correct as long as most clocks are.
 */
package io.guavashore.edge.duties

import io.guavashore.api.MonotonicClock
import io.guavashore.api.VmId
import io.guavashore.api.WallClock

/** Median of the wall clocks of this VM and its peers. Not thread-safe. */
class MedianClock(
    private val wallClock: WallClock,
    private val clock: MonotonicClock,
) {
    private class PeerOffset(
        val offsetMs: Long,
        val atMs: Long,
    )

    /** Difference between each peer's wall clock and this VM's monotonic clock. */
    private val peerOffsets = HashMap<VmId, PeerOffset>()

    fun onHeartbeat(
        vm: VmId,
        wallMs: Long,
    ) {
        peerOffsets[vm] = PeerOffset(wallMs - clock(), clock())
    }

    /** Milliseconds since the Unix epoch. */
    fun nowMs(): Long {
        val now = clock()
        peerOffsets.values.removeIf { now - it.atMs > MAX_OFFSET_AGE_MS }
        val offsets = peerOffsets.values.mapTo(ArrayList()) { it.offsetMs }
        offsets += wallClock() - now
        offsets.sort()
        return now + offsets[offsets.size / 2]
    }

    private companion object {
        /** Offsets of peers that have not sent a heartbeat for longer are outdated. */
        const val MAX_OFFSET_AGE_MS = 5_000L
    }
}
