/*
 * Rules for permits to targets whose limit must hold in every second, over all VMs: targets that are cold.
 *
 * Load pattern: the engines of an availability zone come back cold while a step waits for them; a cold target ends if
 * it gets much more than its rate, so neither a cut nor a change of the coordinator may let two VMs hand out the same
 * room. A permit is used up to [StrictLimit.VALIDITY_MS] after its time, so the permits of 1.2 s may be used within one
 * second. At a rate R, these are 1.2 R + 1 permits of the coordinator and, from VMs that don't reach it, 0.3 R + 2
 * turns.
 *
 * A coordinator issues such permits only while it holds the lease, and no earlier in its term than the last permit of
 * its predecessor has expired.
 */
package io.guavashore.edge.limits

/** Bounds on permits to cold targets. */
internal object StrictLimit {
    /** Time for which a permit may be used; opening a connection takes a few milliseconds. */
    const val VALIDITY_MS = 200L

    /** Time for which a permit is issued ahead; longer waits are refused, so that a successor can begin soon. */
    const val MAX_WAIT_MS = 500L

    /** Share of the rate that VMs use by turns while they don't reach a coordinator. */
    const val TURN_SHARE = 0.25
}
