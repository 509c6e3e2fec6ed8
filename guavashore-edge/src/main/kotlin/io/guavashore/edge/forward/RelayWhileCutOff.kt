/*
 * Decides when requests are relayed: while this VM can't reach any target.
 *
 * Load pattern: a VM, or most VMs of an availability zone, lose their links to all targets for seconds while callers
 * keep sending to them. Open connections hang, are reset, or go on while new ones are refused.
 */
package io.guavashore.edge.forward

import io.guavashore.edge.targets.TargetReachability

/** Relaying on one VM. Not thread-safe. */
class RelayWhileCutOff(
    private val reachability: TargetReachability,
    private val relay: PeerRelay,
) {
    /** True if [call] can only be served by another VM. */
    fun isNeeded(call: ForwardedCall): Boolean = reachability.isCutOff && !call.isRelayed

    /** Called after a target could not be reached or did not respond; returns once [isNeeded] takes it into account. */
    suspend fun onTargetUnreachable() = reachability.verify()

    /** Relays [call]; see [PeerRelay.attempt]. */
    suspend fun attempt(call: ForwardedCall): PeerRelay.Result? = relay.attempt(call)
}
