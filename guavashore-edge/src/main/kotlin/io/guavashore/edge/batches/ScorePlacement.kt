/*
 * Placement policy for score calls: selects the texts that are scored next, and a target for each of them.
 *
 * Items of one group have the same prompt and start together, so their texts are completed together. A step therefore
 * sends its score calls in bursts of tens, several times the number of slots of the scoring service. One call takes a
 * few hundred milliseconds, with a tail of four times that. The same targets serve short direct requests, which queue
 * behind a burst. A trainer uses complete groups only, so scores that are spread over many incomplete groups are
 * useless to it.
 *
 * Therefore:
 * - The step that is due first is scored first, and within it the group with the fewest open items.
 * - Each target reserves some slots for direct requests.
 * - A call that takes much longer than typical is hedged by a second call to another target. Hedged calls only use
 *   slots for which no first call is waiting.
 */
package io.guavashore.edge.batches

import io.guavashore.api.ServiceId
import io.guavashore.api.TargetId
import kotlin.math.ceil

/**
 * Snapshot of a scoring target for placement.
 *
 * @property ownCalls number of score calls that this dispatcher has running on the target
 * @property otherRequests number of other requests that run or wait on the target, as reported by its latest responses
 * @property typicalMs average duration of a score call on the target; null until measured
 * @property isUsable false while the target leaves, is full, or has just failed
 * @property startsAllowed number of calls that may be started now within the target's request limit
 */
data class ScoringTargetView(
    val id: TargetId,
    val service: ServiceId,
    val slots: Int,
    val ownCalls: Int = 0,
    val otherRequests: Int = 0,
    val typicalMs: Double? = null,
    val isUsable: Boolean = true,
    val startsAllowed: Int = Int.MAX_VALUE,
)

/**
 * Item that waits for its score.
 *
 * @property services services that may score the text
 * @property tried targets whose score calls for the item failed or are running
 * @property runningForMs time since the start of the item's only running call; null if no call is running
 */
data class ScoreDemand(
    val item: ItemState,
    val services: Set<ServiceId>,
    val tried: Set<TargetId> = emptySet(),
    val runningForMs: Long? = null,
)

data class ScoreAssignment(
    val item: ItemState,
    val target: TargetId,
)

data class ScorePlacementConfig(
    /** Share of a target's slots that is reserved for direct requests, rounded up; none on a target with one slot. */
    val reservedShare: Double = 0.15,
    /** Duration of a score call assumed for a target without measurements. */
    val defaultMs: Double = 250.0,
    /** A call is hedged once it has taken this many times the typical duration. */
    val hedgeRatio: Double = 3.0,
    /** Minimum duration of a call before it is hedged. */
    val minHedgeDelayMs: Long = 400,
) {
    /** Slots of [target] that score calls may use; the others are reserved for direct requests. */
    fun slotsForScoreCalls(target: ScoringTargetView): Int =
        if (target.slots <= 1) target.slots else target.slots - ceil(target.slots * reservedShare).toInt()
}

/**
 * Order in which score calls are placed: earliest due batch first, then the group with the fewest items without a
 * result, then in order of text completion.
 */
fun scoreOrder(demands: List<ScoreDemand>): List<ScoreDemand> =
    demands.sortedWith(
        compareBy<ScoreDemand> { it.item.batch.record.dueAtMs }
            .thenBy { it.item.batch.id.value }
            .thenBy { it.item.batch.openItemsInGroup(it.item.group) }
            .thenBy { it.item.textCompleteAtMs }
            .thenBy { it.item.position },
    )

/** Assigns as many score calls as [targets] have slots for: first calls in [scoreOrder], then hedged calls. */
fun placeScores(
    demands: List<ScoreDemand>,
    targets: List<ScoringTargetView>,
    config: ScorePlacementConfig = ScorePlacementConfig(),
): List<ScoreAssignment> {
    val available = targets.associateByTo(LinkedHashMap()) { it.id }
    val medianMs = targets.mapNotNull { it.typicalMs }.sorted().let { it.getOrNull(it.size / 2) } ?: config.defaultMs
    val hedgeDelayMs = maxOf(config.minHedgeDelayMs, (medianMs * config.hedgeRatio).toLong())
    val (first, running) = demands.partition { it.runningForMs == null }
    val overdue = running.filter { (it.runningForMs ?: 0) >= hedgeDelayMs }
    return (scoreOrder(first) + scoreOrder(overdue)).mapNotNull { demand ->
        val best = bestTarget(demand, available.values, config) ?: return@mapNotNull null
        available[best.id] = best.copy(ownCalls = best.ownCalls + 1, startsAllowed = best.startsAllowed - 1)
        ScoreAssignment(demand.item, best.id)
    }
}

/** Target with the shortest expected duration. A first call may repeat a failed target if none is left. */
private fun bestTarget(
    demand: ScoreDemand,
    targets: Collection<ScoringTargetView>,
    config: ScorePlacementConfig,
): ScoringTargetView? {
    val eligible = targets.filter { it.isUsable && it.startsAllowed > 0 && it.service in demand.services }
    val untried = eligible.filter { it.id !in demand.tried }
    val candidates = if (untried.isEmpty() && demand.runningForMs == null) eligible else untried
    return candidates
        .filter { it.ownCalls + it.otherRequests < config.slotsForScoreCalls(it) }
        .minWithOrNull(compareBy({ (it.typicalMs ?: config.defaultMs) * (1 + it.utilization) }, { it.id }))
}

/** Share of the slots in use. Calls on a target that is nearly full take up to twice as long. */
private val ScoringTargetView.utilization: Double get() = (ownCalls + otherRequests) / slots.coerceAtLeast(1).toDouble()
