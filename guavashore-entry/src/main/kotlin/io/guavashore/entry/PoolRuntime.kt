/*
 * One pool on this entry: its dispatcher and runners.
 */
package io.guavashore.entry

import io.guavashore.admission.Demand
import io.guavashore.admission.ResourceId
import io.guavashore.api.MonotonicClock
import io.guavashore.api.OrganisationId
import io.guavashore.api.PoolDeclaration
import io.guavashore.api.Target
import io.guavashore.api.TargetId
import io.guavashore.api.TargetStage
import io.guavashore.api.ZoneId
import io.guavashore.calls.CallRunner
import io.guavashore.calls.GenerateOnTarget
import io.guavashore.calls.GenerationRunner
import io.guavashore.calls.IsTargetUp
import io.guavashore.calls.NewAttemptId
import io.guavashore.calls.SlotDispatcher
import io.guavashore.calls.SuspectGuard
import io.guavashore.calls.TargetShare
import io.guavashore.metrics.Metrics
import io.guavashore.wire.SharedResources
import kotlin.math.ceil

/** What pools need of the process around them. */
internal class PoolEnvironment(
    val zone: ZoneId,
    val clock: MonotonicClock,
    val guard: SuspectGuard,
    val engine: GenerateOnTarget,
    val isUp: IsTargetUp,
    val newAttemptId: NewAttemptId,
    val metrics: Metrics,
    val onWaiting: () -> Unit,
)

/** Runtime of a pool; kept across revisions. */
internal class PoolRuntime(
    declaration: PoolDeclaration,
    environment: PoolEnvironment,
    weightOf: (OrganisationId) -> Int,
) {
    val id = declaration.id

    val dispatcher =
        SlotDispatcher(
            homeZone = environment.zone,
            clock = environment.clock,
            reservedPublicSlots = declaration.reservedPublicSlots,
            onWaiting = environment.onWaiting,
            weightOf = weightOf,
        )

    val calls =
        CallRunner(dispatcher, environment.guard, environment.isUp) { broke ->
            environment.metrics.count("attempts", "pool" to id.value, "outcome" to (broke?.name ?: "OK").lowercase())
        }

    val generations =
        GenerationRunner(
            calls,
            environment.engine,
            environment.newAttemptId,
            environment.clock,
            dispatcher::recordSpeed,
        )

    /** Takes over the pool's targets with what this entry may use of each. */
    fun update(
        targets: List<Target>,
        entitlement: Entitlement,
    ) = dispatcher.update(
        targets.map { TargetShare(it, limit = entitlement(SharedResources.slots(it.id)).toInt()) },
    )

    /** Slots of all targets of the pool that serve, whoever uses them. */
    fun totalSlots(): Int = serving().sumOf { it.target.slots }

    fun takeDemands(entitlement: Entitlement): Map<ResourceId, Demand> {
        val inFlight = dispatcher.inFlight()
        val serving = serving()
        val demand = inFlight.values.sum() + dispatcher.waiting()
        val perTarget = if (serving.isEmpty()) 0 else ceil(demand * HEADROOM / serving.size).toLong()
        return dispatcher.targets().associate { share ->
            val target = share.target
            val resource = SharedResources.slots(target.id)
            val wanted = if (target.stage == TargetStage.SERVING) minOf(perTarget, target.slots.toLong()) else 0
            resource to Demand(wanted, inUse = (inFlight[target.id] ?: 0).toLong(), held = entitlement(resource))
        }
    }

    /** Requests of this entry on targets of the pool that are to leave. */
    fun inFlightOnLeaving(): Map<TargetId, Int> {
        val leaving = dispatcher.targets().filter { it.target.stage == TargetStage.LEAVING }.map { it.target.id }
        return dispatcher.inFlight().filterKeys { it in leaving }
    }

    private fun serving() = dispatcher.targets().filter { it.target.stage == TargetStage.SERVING }

    private companion object {
        const val HEADROOM = 1.25
    }
}
