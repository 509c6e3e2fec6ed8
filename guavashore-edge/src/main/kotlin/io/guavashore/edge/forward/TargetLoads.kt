/*
 * Choice of a target for a caller's request.
 *
 * Load pattern: short requests from several VMs meet at targets with a handful of slots each. A VM knows its own
 * requests exactly and those of others from the load that answers report, which is a little old. Ties go to the own
 * availability zone, since bytes between zones have a price.
 */
package io.guavashore.edge.forward

import io.guavashore.api.ServiceId
import io.guavashore.api.TargetId
import io.guavashore.api.ZoneId
import io.guavashore.edge.declared.Route
import io.guavashore.edge.declared.TargetEntry
import io.guavashore.edge.targets.ReportedLoad

/** Loads as one VM sees them. Not thread-safe. */
class TargetLoads {
    private class Report(
        val load: ReportedLoad,
        val atMs: Long,
    ) {
        val requests: Int get() = load.running + load.waiting
    }

    private val own = HashMap<TargetId, Int>()
    private val reported = HashMap<TargetId, Report>()
    private val sentByService = HashMap<Pair<String, ServiceId>, Int>()

    fun begin(target: TargetId) {
        own.merge(target, 1, Int::plus)
    }

    fun end(target: TargetId) {
        own.computeIfPresent(target) { _, count -> if (count <= 1) null else count - 1 }
    }

    fun reported(
        target: TargetId,
        load: ReportedLoad,
        nowMs: Long,
    ) {
        reported[target] = Report(load, nowMs)
    }

    /** Requests that run and wait at [target] by its last answer; 0 once that says nothing of now any more. */
    fun recentlyReported(
        target: TargetId,
        nowMs: Long,
    ): Int = reported[target]?.takeIf { nowMs - it.atMs <= REPORT_VALID_MS }?.requests ?: 0

    /** Service whose share of the route is furthest behind its weight, among those that have candidates. */
    fun serviceFor(
        route: Route,
        candidates: List<TargetEntry>,
    ): ServiceId? {
        val available = candidates.mapTo(HashSet()) { it.service }
        val chosen =
            route.backends
                .filter { it.weight > 0 && it.service in available }
                .minByOrNull { sent(route, it.service) / it.weight.toDouble() } ?: return null
        sentByService.merge(route.id.value to chosen.service, 1, Int::plus)
        return chosen.service
    }

    /** The least loaded of [candidates]; one in [home] if it is not clearly busier. */
    fun pick(
        candidates: List<TargetEntry>,
        home: ZoneId,
    ): TargetEntry? = candidates.minWithOrNull(compareBy({ load(it) + if (it.zone == home) 0.0 else AWAY }, { it.id }))

    private fun sent(
        route: Route,
        service: ServiceId,
    ) = sentByService[route.id.value to service] ?: 0

    private fun load(target: TargetEntry): Double {
        val others = reported[target.id]?.requests ?: 0
        return maxOf(own[target.id] ?: 0, others) / target.slots.coerceAtLeast(1).toDouble()
    }

    private companion object {
        /** A target elsewhere is taken if the one at home has half of its slots more in use. */
        const val AWAY = 0.5

        /** A few requests of the usual length begin and end within this time. */
        const val REPORT_VALID_MS = 300L
    }
}
