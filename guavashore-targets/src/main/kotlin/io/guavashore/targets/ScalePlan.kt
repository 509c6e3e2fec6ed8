/*
 * How many targets a pool should have in one availability zone, and which to start or stop next. Pure functions.
 */
package io.guavashore.targets

import io.guavashore.api.PoolZoneDeclaration
import io.guavashore.api.ScalePolicy
import io.guavashore.platform.PlatformStage
import io.guavashore.platform.PlatformTarget

/**
 * Load of a pool in one zone: slots in use and requests that wait, as the zone's entries report them.
 */
data class PoolLoad(
    val inUse: Long,
    val waiting: Long,
)

/** Thresholds of a policy. Utilisation is load over slots. */
data class ScaleTerms(
    val targetUtilisation: Double,
    val downUtilisation: Double,
    val downAfterMs: Long,
) {
    companion object {
        fun of(policy: ScalePolicy): ScaleTerms =
            when (policy) {
                ScalePolicy.COST_FIRST ->
                    ScaleTerms(
                        targetUtilisation = 0.85,
                        downUtilisation = 0.6,
                        downAfterMs = 30_000,
                    )
                ScalePolicy.IDLE_TIME_FIRST ->
                    ScaleTerms(targetUtilisation = 0.6, downUtilisation = 0.3, downAfterMs = 120_000)
            }
    }
}

/** What to do next for one pool in one zone. */
sealed interface ScaleStep {
    data object Keep : ScaleStep

    data class Start(
        val cheap: Boolean,
    ) : ScaleStep

    /** Drain [target] and stop it once nothing runs there. */
    data class Retire(
        val target: PlatformTarget,
    ) : ScaleStep
}

/**
 * Scaler of one pool in one zone; remembers since when the load has been low. Not thread-safe.
 */
class PoolScaler(
    private val cheapRetryMs: Long = 30_000,
) {
    private var lowSinceMs: Long? = null
    private var cheapMissingUntilMs = 0L

    /** Records that no cheap target was to be had. */
    fun cheapWasMissing(nowMs: Long) {
        cheapMissingUntilMs = nowMs + cheapRetryMs
    }

    /**
     * @param present targets that start or run and are not being retired
     */
    fun next(
        bounds: PoolZoneDeclaration,
        slotsPerTarget: Int,
        terms: ScaleTerms,
        present: List<PlatformTarget>,
        load: PoolLoad,
        nowMs: Long,
    ): ScaleStep {
        val kept = present.filter { it.stage == PlatformStage.STARTING || it.stage == PlatformStage.RUNNING }
        val wanted = wantedTargets(load, slotsPerTarget, terms).coerceIn(bounds.minTargets, bounds.maxTargets)
        if (kept.size < wanted) {
            lowSinceMs = null
            return ScaleStep.Start(cheap = bounds.preferCheap && nowMs >= cheapMissingUntilMs)
        }
        if (kept.size <= bounds.minTargets || !isLow(load, slotsPerTarget, terms, kept.size)) {
            lowSinceMs = null
            return ScaleStep.Keep
        }
        val since = lowSinceMs ?: nowMs.also { lowSinceMs = it }
        if (nowMs - since < terms.downAfterMs) return ScaleStep.Keep
        lowSinceMs = nowMs
        return ScaleStep.Retire(kept.sortedWith(compareBy({ it.cheap }, { -it.startedAtMs })).first())
    }

    private fun wantedTargets(
        load: PoolLoad,
        slotsPerTarget: Int,
        terms: ScaleTerms,
    ): Int {
        val slots = (load.inUse + load.waiting) / terms.targetUtilisation
        return Math.ceil(slots / slotsPerTarget).toInt()
    }

    /** Low means that one target fewer would still be within the lower threshold. */
    private fun isLow(
        load: PoolLoad,
        slotsPerTarget: Int,
        terms: ScaleTerms,
        count: Int,
    ): Boolean {
        val slotsAfter = (count - 1) * slotsPerTarget
        return slotsAfter > 0 && (load.inUse + load.waiting).toDouble() / slotsAfter <= terms.downUtilisation
    }
}
