/*
 * Rolls out each pool's newest weights to its engines in this zone.
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
import io.guavashore.weights.TargetWeights
import io.guavashore.weights.WeightRollout
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope

private val log = KotlinLogging.logger {}

/** Weight rollouts of one zone. Not thread-safe, except for [isExcluded]. */
internal class WeightRollouts(
    private val latestWeights: LatestWeights,
    private val engines: EngineControl,
    private val clock: MonotonicClock,
) {
    private class PoolState {
        val rollout = WeightRollout()
        var desiredVersion: WeightVersion? = null
        var lastQueryAtMs = Long.MIN_VALUE / 2
    }

    private val pools = HashMap<Pair<TeamId, PoolId>, PoolState>()

    @Volatile
    private var excluded: Set<TargetId> = emptySet()

    /** True if the target gets no more requests because it failed to load the newest weights too often. */
    fun isExcluded(id: TargetId): Boolean = id in excluded

    /** Sends the load orders that are due; none without [lease] or within [MIN_REMAINING_LEASE_MS] of its expiry. */
    suspend fun step(
        targets: List<Target>,
        lease: HeldLease?,
        declarations: List<Declaration>,
        health: TargetHealth,
    ) {
        if (lease == null || lease.untilMs - clock() < MIN_REMAINING_LEASE_MS) return
        val failed = mutableSetOf<TargetId>()
        declarations.forEach { declaration ->
            declaration.pools.filter { it.kind == TargetKind.MODEL }.forEach { pool ->
                val poolTargets = targets.filter { it.team == declaration.team && it.pool == pool.id }
                failed += stepPool(declaration.team, pool.id, poolTargets, lease, health)
            }
        }
        excluded = failed
    }

    private suspend fun stepPool(
        team: TeamId,
        pool: PoolId,
        targets: List<Target>,
        lease: HeldLease,
        health: TargetHealth,
    ): List<TargetId> {
        val state = pools.getOrPut(team to pool) { PoolState() }
        val desiredVersion = refreshDesiredVersion(team, pool, state) ?: return emptyList()
        val weights =
            targets.map { target ->
                val reported = health.state(target.id)
                TargetWeights(target.id, reported?.version?.let(::WeightVersion), reported?.loading ?: false)
            }
        val step = state.rollout.next(desiredVersion, weights, clock())
        coroutineScope {
            targets
                .filter { it.id in step.load }
                .map { async { engines.load(it, desiredVersion, lease.fencingNumber) } }
                .awaitAll()
        }
        return step.toExclude
    }

    private suspend fun refreshDesiredVersion(
        team: TeamId,
        pool: PoolId,
        state: PoolState,
    ): WeightVersion? {
        if (clock() - state.lastQueryAtMs >= QUERY_INTERVAL_MS) {
            state.lastQueryAtMs = clock()
            val newest = latestWeights(team, pool).get()
            if (newest != null && newest > (state.desiredVersion ?: WeightVersion(0))) {
                log.info { "newer weights available, to be loaded: team=$team pool=$pool version=$newest" }
                state.desiredVersion = newest
            }
        }
        return state.desiredVersion
    }

    private companion object {
        const val QUERY_INTERVAL_MS = 1_000L
        const val MIN_REMAINING_LEASE_MS = 2_000L
    }
}
