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
    /** Difference between a peer's wall clock and this VM's monotonic clock, as received at [atMs]. */
    private class PeerOffset(
        val offsetMs: Long,
        val atMs: Long,
    )

    private val peerOffsets = HashMap<VmId, PeerOffset>()

    /** Records the wall-clock time [wallMs] from a heartbeat of [vm], in Unix milliseconds. */
    fun onHeartbeat(
        vm: VmId,
        wallMs: Long,
    ) {
        peerOffsets[vm] = PeerOffset(wallMs - clock(), clock())
    }

    /** Median time, in milliseconds since the Unix epoch. */
    fun nowMs(): Long {
        val now = clock()
        peerOffsets.values.removeIf { now - it.atMs > MAX_OFFSET_AGE_MS }
        val offsets = peerOffsets.values.mapTo(ArrayList()) { it.offsetMs }
        offsets += wallClock() - now
        offsets.sort()
        return now + offsets[offsets.size / 2]
    }

    private companion object {
        /** An offset is outdated if the peer has sent no heartbeat for longer than this. */
        const val MAX_OFFSET_AGE_MS = 5_000L
    }
}
