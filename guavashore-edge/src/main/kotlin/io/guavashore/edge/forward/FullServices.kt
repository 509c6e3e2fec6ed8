/*
 * Refusals of requests whose service has no room: whether one is refused without an attempt, and when to retry.
 *
 * Load pattern: all targets of a plain service are full for some hundred milliseconds. A request that tries them one
 * after the other learns it late. It is refused at once only if the latest word of each target was a refusal and no
 * target can have freed a slot since; what may have room is tried.
 */
package io.guavashore.edge.forward

import io.github.oshai.kotlinlogging.KotlinLogging
import io.guavashore.api.MonotonicClock
import io.guavashore.api.OrganisationId
import io.guavashore.edge.declared.Route
import io.guavashore.edge.declared.RouteKind
import io.guavashore.edge.declared.TargetEntry
import io.guavashore.edge.loads.ExpectedLoad
import io.guavashore.edge.loads.RequestRank
import io.guavashore.edge.loads.RetryAfterPlan
import io.guavashore.edge.loads.RoomRate
import io.guavashore.edge.loads.ServiceTimes
import kotlin.random.Random

private val log = KotlinLogging.logger {}

/** What the VM knows beyond the load of targets when it decides on refusals. */
class RefusalContext(
    val targetsOf: (Route) -> List<TargetEntry>,
    val priorityOf: (OrganisationId) -> Int,
    /** Number of VMs that forward requests, this one included. */
    val vms: () -> Int,
)

/** Refusals of one VM, for services whose targets state their speed. Not thread-safe. */
class FullServices(
    private val loads: TargetLoads,
    private val context: RefusalContext,
    private val clock: MonotonicClock,
    random: Random = Random.Default,
) {
    private val plan = RetryAfterPlan(random)
    private val serviceTimes = ServiceTimes()

    /** Records that [target] completed a request of [route] in [durationMs]. */
    fun onCompleted(
        route: Route,
        target: TargetEntry,
        durationMs: Long,
    ) {
        val slowdown = loads.reportOf(target)?.load?.slowdown ?: return
        serviceTimes.record(route, durationMs, slowdown)
    }

    /**
     * True if all targets of [call] are known to be full, so that no attempt is made. A call that goes before one that
     * was told to return is offered to targets all the same.
     */
    fun isKnownFull(call: ForwardedCall): Boolean {
        if (call.route.kind == RouteKind.STREAMING || call.attempts.sent > 0) return false
        // Without a measurement it is not known when a slot is freed. Only targets that state their speed are measured.
        val serviceMs = serviceTimes.measured(call.route) ?: return false
        val targets = context.targetsOf(call.route)
        if (targets.isEmpty() || !loads.stateSpeed(targets)) return false
        val nowMs = clock()
        if (!loads.haveNoRoom(targets, serviceMs, nowMs)) return false
        return !plan.outranksWaiting(targets.first().service, rank(call), nowMs)
    }

    /** True if the last target that [call] tried refused it, and targets state their speed. */
    fun refused(call: ForwardedCall): Boolean =
        call.stream.origin == null &&
            call.lastOutcome == AttemptOutcome.NOT_RUN &&
            loads.stateSpeed(context.targetsOf(call.route))

    /** Time after which to retry [call], which found no room; null if targets don't state their speed. */
    fun retryAfterMs(call: ForwardedCall): Long? {
        val targets = context.targetsOf(call.route)
        if (targets.isEmpty() || !loads.stateSpeed(targets)) return null
        val nowMs = clock()
        val expected = loads.expected(targets, nowMs)
        val room = roomRate(expected, serviceTimes.of(call.route))
        val rank = rank(call)
        val leftMs = call.deadlineMs - nowMs
        val retryAfterMs = plan.retryAfterMs(targets.first().service, room, rank, leftMs, nowMs)
        log.info {
            "no room at targets: request=${call.metadata.requestId} retry_after_ms=$retryAfterMs " +
                "freed_per_s=${"%.0f".format(room.freedPerMs * MS_PER_S)} waiting=${"%.1f".format(room.waiting)} " +
                "vms=${room.vms} rank=${rank.organisationPriority}/${rank.routePriority} left_ms=$leftMs " +
                "targets=${expected.take(MAX_LOGGED_TARGETS)} of=${expected.size}"
        }
        return retryAfterMs
    }

    private fun roomRate(
        expected: List<ExpectedLoad>,
        serviceMs: Double,
    ) = RoomRate(
        freedPerMs = expected.sumOf { it.target.slots / (serviceMs * it.slowdown) },
        waiting = expected.sumOf { maxOf(0.0, it.requests - it.target.slots) },
        vms = context.vms(),
    )

    private fun rank(call: ForwardedCall) =
        RequestRank(call.organisation?.let(context.priorityOf) ?: 0, call.route.priority)

    private companion object {
        const val MS_PER_S = 1_000
        const val MAX_LOGGED_TARGETS = 6
    }
}
