/*
 * Rolls out a new weight version to the targets of a pool, a fraction at a time, so that the pool keeps serving. The
 * version of a target is the one that the target itself reports, not the one that it was ordered to load.
 */
package io.guavashore.weights

import io.guavashore.api.TargetId
import io.guavashore.api.WeightVersion

/** Weights of a target, as it reports them. [version] is null if the target reports none. */
data class TargetWeights(
    val target: TargetId,
    val version: WeightVersion?,
    val loading: Boolean = false,
)

/**
 * Limits of a rollout.
 *
 * @property maxLoadingFraction maximum fraction of the targets that load at once; one target may always load
 * @property loadTimeoutMs time after which a load order counts as failed
 * @property maxAttempts number of load orders after which a target is excluded
 */
data class WeightRolloutConfig(
    val maxLoadingFraction: Double = 0.5,
    val loadTimeoutMs: Long = 10_000,
    val maxAttempts: Int = 3,
)

/** Next step of a rollout: targets to order to load, and targets that used up their attempts. */
data class WeightRolloutStep(
    val load: List<TargetId>,
    val toExclude: List<TargetId>,
)

/** Weight rollouts of one pool in one zone. Not thread-safe. */
class WeightRollout(
    private val config: WeightRolloutConfig = WeightRolloutConfig(),
) {
    private class LoadAttempt(
        val desiredVersion: WeightVersion,
        val attemptNumber: Int,
        val startedAtMs: Long,
    )

    private val attempts = HashMap<TargetId, LoadAttempt>()

    /** Returns the targets to order to load [desiredVersion] now. They count as loading from [nowMs] on. */
    fun next(
        desiredVersion: WeightVersion,
        targets: List<TargetWeights>,
        nowMs: Long,
    ): WeightRolloutStep {
        attempts.keys.retainAll(targets.map { it.target }.toSet())
        val behind = targets.filter { !hasReached(it, desiredVersion) }
        targets.filter { hasReached(it, desiredVersion) }.forEach { attempts.remove(it.target) }
        val loading = behind.filter { isLoading(it, desiredVersion, nowMs) }
        val idle = behind - loading.toSet()
        val (exhausted, usable) = idle.partition { attemptCount(it.target, desiredVersion) >= config.maxAttempts }
        val availableSlots = maxOf(1, (targets.size * config.maxLoadingFraction).toInt()) - loading.size
        val load =
            usable.sortedBy { attemptCount(it.target, desiredVersion) }.take(maxOf(0, availableSlots)).map { it.target }
        load.forEach { attempts[it] = LoadAttempt(desiredVersion, attemptCount(it, desiredVersion) + 1, nowMs) }
        return WeightRolloutStep(load, toExclude = exhausted.map { it.target })
    }

    private fun hasReached(
        weights: TargetWeights,
        desiredVersion: WeightVersion,
    ): Boolean = weights.version != null && weights.version >= desiredVersion

    private fun isLoading(
        weights: TargetWeights,
        desiredVersion: WeightVersion,
        nowMs: Long,
    ): Boolean {
        val attempt = attempts[weights.target]?.takeIf { it.desiredVersion == desiredVersion } ?: return weights.loading
        return nowMs - attempt.startedAtMs < config.loadTimeoutMs
    }

    private fun attemptCount(
        target: TargetId,
        desiredVersion: WeightVersion,
    ): Int = attempts[target]?.takeIf { it.desiredVersion == desiredVersion }?.attemptNumber ?: 0
}
