/*
 * Divides a target's rate among the VMs while no coordinator issues permits.
 *
 * Load pattern: the coordinator is lost or cut off for some seconds, and VMs that can't reach each other send to the
 * same target. Time is divided into turns of one request, which go to the VMs in rotation; so the sum holds without any
 * message, and VMs with a long interval between their turns don't send all at once. All registered VMs have turns,
 * also those that are cut off, because they may still reach the target.
 */
package io.guavashore.edge.limits

import io.guavashore.api.TargetId
import kotlin.math.ceil

/**
 * Place of a VM in the rotation.
 *
 * @property rank position among the [vmCount] registered VMs, from 0
 * @property wallMs wall time that the VMs agree on, in milliseconds since the Unix epoch
 */
class RotationPlace(
    val rank: Int,
    val vmCount: Int,
    val wallMs: Long,
)

/** Turns of one VM. Not thread-safe; does no I/O. */
class RotatingTurns {
    /** Wall time at which the last turn taken ends; a turn's number would change with the rate. */
    private val takenUntilMs = HashMap<TargetId, Double>()

    /** Takes the next turn at [target] and returns the time until it begins; null if that exceeds [maxWaitMs]. */
    fun take(
        target: TargetId,
        requestsPerS: Double,
        place: RotationPlace,
        maxWaitMs: Long,
        rateShare: Double = RATE_SHARE,
    ): Long? {
        val waitMs = waitMs(target, requestsPerS, place, rateShare)
        if (waitMs > maxWaitMs) return null
        val turnMs = turnMs(requestsPerS, rateShare)
        takenUntilMs[target] = (nextTurn(target, turnMs, place) + 1) * turnMs
        return waitMs
    }

    /** Time until the next turn at [target] begins. */
    fun waitMs(
        target: TargetId,
        requestsPerS: Double,
        place: RotationPlace,
        rateShare: Double = RATE_SHARE,
    ): Long {
        val turnMs = turnMs(requestsPerS, rateShare)
        return maxOf(0, ceil(nextTurn(target, turnMs, place) * turnMs).toLong() - place.wallMs)
    }

    private fun nextTurn(
        target: TargetId,
        turnMs: Double,
        place: RotationPlace,
    ): Long {
        val first = maxOf((place.wallMs / turnMs).toLong(), Math.round((takenUntilMs[target] ?: 0.0) / turnMs))
        // Different targets begin their rotations at different VMs.
        val offset = Math.floorMod(target.value.hashCode(), place.vmCount)
        return first + Math.floorMod(place.rank - offset - first, place.vmCount.toLong())
    }

    private fun turnMs(
        requestsPerS: Double,
        rateShare: Double,
    ) = MS_PER_S / (effectiveRate(requestsPerS) * rateShare)

    companion object {
        private const val MS_PER_S = 1_000.0

        /** The rest of the rate is for a coordinator that still issues permits to VMs on its side of a cut. */
        const val RATE_SHARE = 0.4
    }
}
