/*
 * Roll-out of a new weight version to the targets of a pool, a part at a time so that the pool goes on serving.
 * What a target runs is what it says, never what it was told.
 */
package io.guavashore.weights

import io.guavashore.api.TargetId
import io.guavashore.api.WeightVersion

/** What a target says about its weights; [version] is null if it does not say. */
data class TargetWeights(
    val target: TargetId,
    val version: WeightVersion?,
    val loading: Boolean = false,
)

/** Bounds of a roll-out. */
data class RolloutTerms(
    val maxLoadingShare: Double = 0.5,
    val loadWithinMs: Long = 10_000,
    val maxTries: Int = 3,
)

/** What to do next. */
data class RolloutStep(
    val load: List<TargetId>,
    val takeOut: List<TargetId>,
)

/** Roll-outs of one pool in one zone. Not thread-safe. */
class Rollout(
    private val terms: RolloutTerms = RolloutTerms(),
) {
    private class Attempt(
        val goal: WeightVersion,
        val tries: Int,
        val startedAtMs: Long,
    )

    private val attempts = HashMap<TargetId, Attempt>()

    /** Decides which targets to order to load [goal] now, and which have failed too often. */
    fun next(
        goal: WeightVersion,
        targets: List<TargetWeights>,
        nowMs: Long,
    ): RolloutStep {
        attempts.keys.retainAll(targets.map { it.target }.toSet())
        val behind = targets.filter { !isThere(it, goal) }
        targets.filter { isThere(it, goal) }.forEach { attempts.remove(it.target) }
        val open = behind.filter { isUnderWay(it, goal, nowMs) }
        val idle = behind - open.toSet()
        val (spent, usable) = idle.partition { triesFor(it.target, goal) >= terms.maxTries }
        val room = maxOf(1, (targets.size * terms.maxLoadingShare).toInt()) - open.size
        val load = usable.sortedBy { triesFor(it.target, goal) }.take(maxOf(0, room)).map { it.target }
        load.forEach { attempts[it] = Attempt(goal, triesFor(it, goal) + 1, nowMs) }
        return RolloutStep(load, takeOut = spent.map { it.target })
    }

    private fun isThere(
        weights: TargetWeights,
        goal: WeightVersion,
    ): Boolean = weights.version != null && weights.version >= goal

    private fun isUnderWay(
        weights: TargetWeights,
        goal: WeightVersion,
        nowMs: Long,
    ): Boolean {
        val attempt = attempts[weights.target]?.takeIf { it.goal == goal } ?: return weights.loading
        return nowMs - attempt.startedAtMs < terms.loadWithinMs
    }

    private fun triesFor(
        target: TargetId,
        goal: WeightVersion,
    ): Int = attempts[target]?.takeIf { it.goal == goal }?.tries ?: 0
}
