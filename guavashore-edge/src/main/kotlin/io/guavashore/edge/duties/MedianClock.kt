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

    /** Median of the offsets when it was last computed; kept while none of them has changed or become outdated. */
    private var medianMs = 0L
    private var medianOwnMs = 0L
    private var medianUntilMs = 0L
    private var hasChanged = true

    /** Records the wall-clock time [wallMs] from a heartbeat of [vm], in Unix milliseconds. */
    fun onHeartbeat(
        vm: VmId,
        wallMs: Long,
    ) {
        val offset = PeerOffset(wallMs - clock(), clock())
        if (peerOffsets.put(vm, offset)?.offsetMs != offset.offsetMs) hasChanged = true
    }

    /** Median time, in milliseconds since the Unix epoch. */
    fun nowMs(): Long {
        val now = clock()
        val ownMs = wallClock() - now
        if (hasChanged || ownMs != medianOwnMs || now > medianUntilMs) updateMedian(now, ownMs)
        return now + medianMs
    }

    private fun updateMedian(
        now: Long,
        ownMs: Long,
    ) {
        peerOffsets.values.removeIf { now - it.atMs > MAX_OFFSET_AGE_MS }
        val offsets = LongArray(peerOffsets.size + 1) { ownMs }
        var oldestMs = now
        peerOffsets.values.forEachIndexed { index, offset ->
            offsets[index] = offset.offsetMs
            oldestMs = minOf(oldestMs, offset.atMs)
        }
        offsets.sort()
        medianMs = offsets[offsets.size / 2]
        medianOwnMs = ownMs
        medianUntilMs = oldestMs + MAX_OFFSET_AGE_MS
        hasChanged = false
    }

    private companion object {
        /** An offset is outdated if the peer has sent no heartbeat for longer than this. */
        const val MAX_OFFSET_AGE_MS = 5_000L
    }
}
