/*
 * Tells which peers have just started, so that they are sent what the others know by responses of targets only.
 */
package io.guavashore.edge.peers

import io.guavashore.api.Incarnation
import io.guavashore.api.MonotonicClock
import io.guavashore.api.VmId

/** Peers by the time at which their present process was first heard of. Not thread-safe. */
class NewPeers(
    private val clock: MonotonicClock,
) {
    private class FirstHeard(
        val incarnation: Incarnation,
        val atMs: Long,
    )

    private val firstHeard = HashMap<VmId, FirstHeard>()

    fun onHeartbeat(record: VmRecord) {
        val known = firstHeard[record.vm]
        if (known == null || record.incarnation > known.incarnation) {
            firstHeard[record.vm] = FirstHeard(record.incarnation, clock())
        }
    }

    /** True if the process of [vm] has been heard of for less than [NEW_FOR_MS]. */
    fun isNew(vm: VmId): Boolean = firstHeard[vm]?.let { clock() - it.atMs < NEW_FOR_MS } ?: false

    private companion object {
        /** Several heartbeats in each direction. */
        const val NEW_FOR_MS = 2_000L
    }
}
