/*
 * Selects a target for a caller's request by load.
 *
 * Load pattern: several VMs send short requests to targets with a handful of slots each. A VM knows the number of its
 * own requests exactly. It knows those of other VMs from the load that targets report in their responses, which is
 * slightly out of date. Targets in the VM's own availability zone are preferred, since traffic between zones is
 * charged.
 */
package io.guavashore.edge.forward

import io.guavashore.api.ServiceId
import io.guavashore.api.TargetId
import io.guavashore.api.ZoneId
import io.guavashore.edge.declared.Route
import io.guavashore.edge.declared.TargetEntry
import io.guavashore.edge.targets.ReportedLoad

/** Load of all targets as seen by one VM. Not thread-safe. */
class TargetLoads {
    private class Report(
        val load: ReportedLoad,
        val receivedAtMs: Long,
    ) {
        val requests: Int get() = load.running + load.waiting
    }

    private val inFlight = HashMap<TargetId, Int>()
    private val reportByTarget = HashMap<TargetId, Report>()
    private val sentByService = HashMap<Pair<String, ServiceId>, Int>()

    fun begin(target: TargetId) {
        inFlight.merge(target, 1, Int::plus)
    }

    fun end(target: TargetId) {
        inFlight.computeIfPresent(target) { _, count -> if (count <= 1) null else count - 1 }
    }

    /** Records the load that [target] reported; [nowMs] is the monotonic time at which the report was received. */
    fun recordLoad(
        target: TargetId,
        load: ReportedLoad,
        nowMs: Long,
    ) {
        reportByTarget[target] = Report(load, nowMs)
    }

    /** Requests that run and wait at [target] as of its last response; 0 if that is too old or missing. */
    fun recentlyReported(
        target: TargetId,
        nowMs: Long,
    ): Int = reportByTarget[target]?.takeIf { nowMs - it.receivedAtMs <= REPORT_MAX_AGE_MS }?.requests ?: 0

    /**
     * Selects the service whose share of the route's requests is furthest below its weight, among those that have
     * candidates, and counts a request for it; null if no service has any.
     */
    fun serviceFor(
        route: Route,
        candidates: List<TargetEntry>,
    ): ServiceId? {
        val available = candidates.mapTo(HashSet()) { it.service }
        val chosen =
            route.backends
                .filter { it.weight > 0 && it.service in available }
                .minByOrNull { sentCount(route, it.service) / it.weight.toDouble() } ?: return null
        sentByService.merge(route.id.value to chosen.service, 1, Int::plus)
        return chosen.service
    }

    /** Returns the least loaded of [candidates]; prefers one in [localZone] unless it is clearly busier. */
    fun pick(
        candidates: List<TargetEntry>,
        localZone: ZoneId,
    ): TargetEntry? = candidates.minWithOrNull(order(localZone))

    /** Returns [candidates] in the order in which [pick] prefers them. */
    fun byLoad(
        candidates: List<TargetEntry>,
        localZone: ZoneId,
    ): List<TargetEntry> = candidates.sortedWith(order(localZone))

    /** True if all slots of [target] are taken, as far as this VM knows. */
    fun isFull(target: TargetEntry): Boolean = load(target) >= 1.0

    private fun order(localZone: ZoneId): Comparator<TargetEntry> =
        compareBy({ load(it) + if (it.zone == localZone) 0.0 else OTHER_ZONE_PENALTY }, { it.id })

    private fun sentCount(
        route: Route,
        service: ServiceId,
    ) = sentByService[route.id.value to service] ?: 0

    private fun load(target: TargetEntry): Double {
        val reportedRequests = reportByTarget[target.id]?.requests ?: 0
        return maxOf(inFlight[target.id] ?: 0, reportedRequests) / target.slots.coerceAtLeast(1).toDouble()
    }

    private companion object {
        /** Load added to a target in another zone: half of its slots. */
        const val OTHER_ZONE_PENALTY = 0.5

        /** A few requests of typical duration begin and end within this time. */
        const val REPORT_MAX_AGE_MS = 300L
    }
}
