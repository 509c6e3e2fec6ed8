/*
 * Brings each pool's newest weights to its engines in this zone.
 */
package io.guavashore.steward

import com.github.michaelbull.result.get
import io.github.oshai.kotlinlogging.KotlinLogging
import io.guavashore.api.Declaration
import io.guavashore.api.MonotonicClock
import io.guavashore.api.PoolId
import io.guavashore.api.Target
import io.guavashore.api.TargetId
import io.guavashore.api.TargetKind
import io.guavashore.api.TeamId
import io.guavashore.api.WeightVersion
import io.guavashore.leases.HeldLease
import io.guavashore.platform.LatestWeights
import io.guavashore.weights.Rollout
import io.guavashore.weights.TargetWeights
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope

private val log = KotlinLogging.logger {}

/** Roll-outs of one zone. Used by one coroutine. */
internal class WeightRollouts(
    private val latest: LatestWeights,
    private val engines: EngineControl,
    private val clock: MonotonicClock,
) {
    private class PoolState {
        val rollout = Rollout()
        var goal: WeightVersion? = null
        var askedAtMs = Long.MIN_VALUE / 2
    }

    private val pools = HashMap<Pair<TeamId, PoolId>, PoolState>()

    @Volatile
    private var takenOut: Set<TargetId> = emptySet()

    /** True if the target failed to load the newest weights too often. */
    fun isTakenOut(id: TargetId): Boolean = id in takenOut

    /** Orders what is due under [lease]; nothing without one. */
    suspend fun step(
        targets: List<Target>,
        lease: HeldLease?,
        declarations: List<Declaration>,
        health: TargetHealth,
    ) {
        if (lease == null || lease.untilMs - clock() < ORDER_MS) return
        val failed = mutableSetOf<TargetId>()
        declarations.forEach { declaration ->
            declaration.pools.filter { it.kind == TargetKind.MODEL }.forEach { pool ->
                val own = targets.filter { it.team == declaration.team && it.pool == pool.id }
                failed += stepPool(declaration.team, pool.id, own, lease, health)
            }
        }
        takenOut = failed
    }

    private suspend fun stepPool(
        team: TeamId,
        pool: PoolId,
        targets: List<Target>,
        lease: HeldLease,
        health: TargetHealth,
    ): List<TargetId> {
        val state = pools.getOrPut(team to pool) { PoolState() }
        val goal = newestGoal(team, pool, state) ?: return emptyList()
        val weights =
            targets.map { target ->
                val said = health.state(target.id)
                TargetWeights(target.id, said?.version?.let(::WeightVersion), said?.loading ?: false)
            }
        val step = state.rollout.next(goal, weights, clock())
        coroutineScope {
            targets
                .filter { it.id in step.load }
                .map { async { engines.load(it, goal, lease.fencingNumber) } }
                .awaitAll()
        }
        return step.takeOut
    }

    private suspend fun newestGoal(
        team: TeamId,
        pool: PoolId,
        state: PoolState,
    ): WeightVersion? {
        if (clock() - state.askedAtMs >= ASK_EVERY_MS) {
            state.askedAtMs = clock()
            val newest = latest(team, pool).get()
            if (newest != null && newest > (state.goal ?: WeightVersion(0))) {
                log.info { "weights $newest of $team/$pool are to be loaded" }
                state.goal = newest
            }
        }
        return state.goal
    }

    private companion object {
        const val ASK_EVERY_MS = 1_000L
        const val ORDER_MS = 2_000L
    }
}
