/*
 * Divides a target's rate among the VMs while no coordinator issues permits.
 *
 * Load pattern: the coordinator is lost or cut off for some seconds, and VMs that can't reach each other send to the same
 * target. Time is divided into turns of one request, which go to the VMs in rotation; so the sum holds without any
 * message, and VMs with a long interval between their turns don't send all at once. All registered VMs have turns, also
 * those that are cut off, because they may still reach the target.
 */
package io.guavashore.edge.limits

import io.guavashore.api.TargetId
import kotlin.math.ceil

/** Turns of one VM. Not thread-safe; does no I/O. */
class RotatingTurns {
    private val lastTurn = HashMap<TargetId, Long>()

    /**
     * Takes the next turn at [target] that begins by [wallMs] + [maxWaitMs] and returns the time until it begins; null if
     * there is none.
     *
     * @param rank position of this VM among the [vmCount] registered ones, from 0
     * @param wallMs wall time that the VMs agree on, in milliseconds since the Unix epoch
     */
    fun take(
        target: TargetId,
        requestsPerS: Double,
        rank: Int,
        vmCount: Int,
        wallMs: Long,
        maxWaitMs: Long,
    ): Long? {
        val turnMs = MS_PER_S / (effectiveRate(requestsPerS) * RATE_SHARE)
        val offset = Math.floorMod(target.value.hashCode(), vmCount)
        val first = maxOf((wallMs / turnMs).toLong(), (lastTurn[target] ?: -1) + 1)
        val turn = first + Math.floorMod(rank - offset - first, vmCount.toLong())
        val beginsMs = maxOf(wallMs, ceil(turn * turnMs).toLong())
        if (beginsMs - wallMs > maxWaitMs) return null
        lastTurn[target] = turn
        return beginsMs - wallMs
    }

    private companion object {
        const val MS_PER_S = 1_000.0

        /** The rest of the rate is for a coordinator that still issues permits to VMs on its side of a cut. */
        const val RATE_SHARE = 0.4
    }
}
