/*
 * Runtime of one pool on this entry: the dispatcher of its slots and the runners of its calls.
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

/** Dependencies of pools on their process. [onWaiting] is called when a request has to wait for a slot. */
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

/** Runtime of a pool; kept across revisions of the declaration. */
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

    val callRunner =
        CallRunner(dispatcher, environment.guard, environment.isUp) { failure ->
            environment.metrics.count("attempts", "pool" to id.value, "outcome" to (failure?.name ?: "OK").lowercase())
        }

    val generationRunner =
        GenerationRunner(
            callRunner,
            environment.engine,
            environment.newAttemptId,
            environment.clock,
            dispatcher::recordSpeed,
        )

    /** Replaces the pool's targets and sets the number of slots that this entry may use on each. */
    fun update(
        targets: List<Target>,
        entitlement: Entitlement,
    ) = dispatcher.update(
        targets.map { TargetShare(it, limit = entitlement(SharedResources.slots(it.id)).toInt()) },
    )

    /** Slots of all serving targets of the pool, including the slots of other entries. */
    fun totalSlots(): Int = servingTargets().sumOf { it.target.slots }

    /** Demand for slots by target: requests in flight and waiting, with headroom, split evenly over serving targets. */
    fun takeDemands(entitlement: Entitlement): Map<ResourceId, Demand> {
        val inFlight = dispatcher.inFlight()
        val serving = servingTargets()
        val requests = inFlight.values.sum() + dispatcher.waiting()
        val wantedPerTarget = if (serving.isEmpty()) 0 else ceil(requests * HEADROOM_FACTOR / serving.size).toLong()
        return dispatcher.targets().associate { share ->
            val target = share.target
            val resource = SharedResources.slots(target.id)
            val desired = if (target.stage == TargetStage.SERVING) minOf(wantedPerTarget, target.slots.toLong()) else 0
            resource to Demand(desired, inUse = (inFlight[target.id] ?: 0).toLong(), held = entitlement(resource))
        }
    }

    /** Number of this entry's requests in flight on each target of the pool that is leaving. */
    fun inFlightOnLeavingTargets(): Map<TargetId, Int> {
        val leavingTargets = dispatcher.targets().filter { it.target.stage == TargetStage.LEAVING }.map { it.target.id }
        return dispatcher.inFlight().filterKeys { it in leavingTargets }
    }

    private fun servingTargets() = dispatcher.targets().filter { it.target.stage == TargetStage.SERVING }

    private companion object {
        const val HEADROOM_FACTOR = 1.25
    }
}
