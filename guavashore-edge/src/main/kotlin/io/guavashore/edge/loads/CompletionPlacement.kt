/*
 * Selects the target that is expected to complete a request first, without a herd.
 *
 * Load pattern: all VMs share reports, so the target that looks best looks best to all of them. Each VM therefore draws
 * two targets by their free capacity and takes the better one, and the first one if they are about equal. Traffic
 * between zones is charged, so a target of another zone must be clearly better.
 */
package io.guavashore.edge.loads

import io.guavashore.api.ZoneId
import kotlin.random.Random

internal class CompletionPlacement(
    private val random: Random,
) {
    /** Returns one of [candidates]; null if there are none. */
    fun pick(
        candidates: List<ExpectedLoad>,
        localZone: ZoneId,
    ): ExpectedLoad? {
        val (local, remote) = candidates.partition { it.target.zone == localZone }
        val bestLocal = betterOfTwo(local) ?: return betterOfTwo(remote)
        val bestRemote = betterOfTwo(remote) ?: return bestLocal
        return if (bestLocal.completion > bestRemote.completion + OTHER_ZONE_PENALTY) bestRemote else bestLocal
    }

    /** Returns [candidates] from the one expected to complete a request first, with the same preference of a zone. */
    fun ordered(
        candidates: List<ExpectedLoad>,
        localZone: ZoneId,
    ): List<ExpectedLoad> =
        candidates.sortedBy { it.completion + if (it.target.zone == localZone) 0.0 else OTHER_ZONE_PENALTY }

    private fun betterOfTwo(candidates: List<ExpectedLoad>): ExpectedLoad? {
        val first = draw(candidates) ?: return null
        val second = draw(candidates.filterNot { it === first }) ?: return first
        return if (second.completion + MARGIN < first.completion) second else first
    }

    private fun draw(candidates: List<ExpectedLoad>): ExpectedLoad? {
        var left = random.nextDouble() * candidates.sumOf { it.freeCapacity }
        return candidates.firstOrNull {
            left -= it.freeCapacity
            left < 0
        } ?: candidates.lastOrNull()
    }

    private companion object {
        /** Added to a target in another zone, in durations of an undisturbed request: half of its slots taken. */
        const val OTHER_ZONE_PENALTY = 0.5

        /** Differences up to this are within the error of the reports. */
        const val MARGIN = 0.2
    }
}
