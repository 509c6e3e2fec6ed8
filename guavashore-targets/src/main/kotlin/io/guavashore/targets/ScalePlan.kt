/*
 * Decides how many targets a pool should have in one availability zone, and which to start or stop next. Does no I/O.
 */
package io.guavashore.targets

import io.guavashore.api.PoolZoneDeclaration
import io.guavashore.api.ScalePolicy
import io.guavashore.platform.PlatformStage
import io.guavashore.platform.PlatformTarget

/**
 * Load of a pool in one zone, as reported by the zone's entries: slots in use and waiting requests.
 */
data class PoolLoad(
    val inUse: Long,
    val waiting: Long,
)

/**
 * Scaling thresholds of a policy. Utilisation is the load (slots in use and waiting requests) divided by all slots.
 *
 * @property targetUtilisation utilisation that scaling up aims at
 * @property scaleDownUtilisation maximum utilisation after the removal of a target
 * @property scaleDownDelayMs time that the load has to stay low before a target is removed
 */
data class ScaleThresholds(
    val targetUtilisation: Double,
    val scaleDownUtilisation: Double,
    val scaleDownDelayMs: Long,
) {
    companion object {
        fun of(policy: ScalePolicy): ScaleThresholds =
            when (policy) {
                ScalePolicy.COST_FIRST ->
                    ScaleThresholds(
                        targetUtilisation = 0.85,
                        scaleDownUtilisation = 0.6,
                        scaleDownDelayMs = 30_000,
                    )
                ScalePolicy.IDLE_TIME_FIRST ->
                    ScaleThresholds(targetUtilisation = 0.6, scaleDownUtilisation = 0.3, scaleDownDelayMs = 120_000)
            }
    }
}

/** Next step for one pool in one zone. */
sealed interface ScaleStep {
    data object Keep : ScaleStep

    data class Start(
        val cheap: Boolean,
    ) : ScaleStep

    /** Drain [target], and stop it once it has no request in flight. */
    data class Retire(
        val target: PlatformTarget,
    ) : ScaleStep
}

/**
 * Autoscaler of one pool in one zone. Keeps track of how long the load has been low. Not thread-safe.
 *
 * @param cheapRetryDelayMs time for which regular targets are started after no cheap one was available
 */
class PoolScaler(
    private val cheapRetryDelayMs: Long = 30_000,
) {
    private var lowSinceMs: Long? = null
    private var cheapUnavailableUntilMs = 0L

    /** Records that the platform had no cheap target available. */
    fun recordCheapUnavailable(nowMs: Long) {
        cheapUnavailableUntilMs = nowMs + cheapRetryDelayMs
    }

    /**
     * Returns the next step. To remove a target, regular ones come before cheap ones, and newer before older.
     *
     * @param present targets that start or run and are not being retired
     */
    fun next(
        bounds: PoolZoneDeclaration,
        slotsPerTarget: Int,
        thresholds: ScaleThresholds,
        present: List<PlatformTarget>,
        load: PoolLoad,
        nowMs: Long,
    ): ScaleStep {
        val active = present.filter { it.stage == PlatformStage.STARTING || it.stage == PlatformStage.RUNNING }
        val desired = desiredTargets(load, slotsPerTarget, thresholds).coerceIn(bounds.minTargets, bounds.maxTargets)
        if (active.size < desired) {
            lowSinceMs = null
            return ScaleStep.Start(cheap = bounds.preferCheap && nowMs >= cheapUnavailableUntilMs)
        }
        if (active.size <= bounds.minTargets || !isLow(load, slotsPerTarget, thresholds, active.size)) {
            lowSinceMs = null
            return ScaleStep.Keep
        }
        val since = lowSinceMs ?: nowMs.also { lowSinceMs = it }
        if (nowMs - since < thresholds.scaleDownDelayMs) return ScaleStep.Keep
        lowSinceMs = nowMs
        return ScaleStep.Retire(active.sortedWith(compareBy({ it.cheap }, { -it.startedAtMs })).first())
    }

    private fun desiredTargets(
        load: PoolLoad,
        slotsPerTarget: Int,
        thresholds: ScaleThresholds,
    ): Int {
        val slots = (load.inUse + load.waiting) / thresholds.targetUtilisation
        return Math.ceil(slots / slotsPerTarget).toInt()
    }

    /** Returns true if the load would fit the scale-down threshold with one target fewer. */
    private fun isLow(
        load: PoolLoad,
        slotsPerTarget: Int,
        thresholds: ScaleThresholds,
        count: Int,
    ): Boolean {
        val slotsAfter = (count - 1) * slotsPerTarget
        return slotsAfter > 0 && (load.inUse + load.waiting).toDouble() / slotsAfter <= thresholds.scaleDownUtilisation
    }
}
