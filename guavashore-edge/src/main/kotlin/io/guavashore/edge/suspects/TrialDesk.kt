/*
 * Grants trials of suspect requests, one at a time for each request over all VMs. Every VM grants the trials of some
 * requests, chosen by rendezvous hashing. If that VM does not reply, the asking VM decides alone.
 */
package io.guavashore.edge.suspects

import io.guavashore.api.MonotonicClock
import io.guavashore.api.VmId
import io.guavashore.routing.RequestFingerprint

/** Trials in progress that one VM has granted. Not thread-safe; does no I/O. */
class TrialDesk(
    private val clock: MonotonicClock,
    private val isAlive: (VmId) -> Boolean,
) {
    private class Trial(
        val holder: VmId,
        val endsAtMs: Long,
    )

    private val trials = HashMap<RequestFingerprint, Trial>()

    /** Grants a trial to [holder] for at most [maxMs]; false while another one is in progress. */
    fun begin(
        fingerprint: RequestFingerprint,
        holder: VmId,
        maxMs: Long,
    ): Boolean {
        val current = trials[fingerprint]
        val isFree = current == null || clock() > current.endsAtMs || !isAlive(current.holder)
        if (isFree) trials[fingerprint] = Trial(holder, clock() + maxMs)
        return isFree
    }

    fun end(
        fingerprint: RequestFingerprint,
        holder: VmId,
    ) {
        if (trials[fingerprint]?.holder == holder) trials.remove(fingerprint)
    }
}
