/*
 * Selects a target for a caller's request by load.
 *
 * Load pattern: several VMs send short requests to targets with a handful of slots each. A VM knows the number of its
 * own requests exactly. It knows those of other VMs from the load that targets report in their responses, which is
 * slightly out of date. Targets in the VM's own availability zone are preferred, since traffic between zones is
 * charged. Among targets that state their speed, the expected time of completion decides.
 */
package io.guavashore.edge.forward

import io.github.oshai.kotlinlogging.KotlinLogging
import io.guavashore.api.ServiceId
import io.guavashore.api.TargetId
import io.guavashore.api.ZoneId
import io.guavashore.edge.declared.Route
import io.guavashore.edge.declared.TargetEntry
import io.guavashore.edge.loads.CompletionPlacement
import io.guavashore.edge.loads.ExpectedLoad
import io.guavashore.edge.loads.LoadNews
import io.guavashore.edge.loads.LoadReport
import io.guavashore.edge.loads.LoadReports
import io.guavashore.edge.loads.expected
import io.guavashore.edge.targets.ReportedLoad
import kotlin.random.Random

private val log = KotlinLogging.logger {}

/** Load of all targets as seen by one VM. Not thread-safe. */
class TargetLoads(
    random: Random = Random.Default,
) {
    private val inFlight = HashMap<TargetId, Int>()
    private val reports = LoadReports()
    private val placement = CompletionPlacement(random)
    private val sentByService = HashMap<Pair<String, ServiceId>, Int>()
    private val unreadable = HashSet<TargetId>()

    fun begin(target: TargetId) {
        inFlight.merge(target, 1, Int::plus)
    }

    fun end(target: TargetId) {
        inFlight.computeIfPresent(target) { _, count -> if (count <= 1) null else count - 1 }
    }

    /**
     * Records the load that [target] reported; [nowMs] is the monotonic time at which the report was received, and
     * [isRefusal] is true if it came with a refusal.
     */
    fun recordLoad(
        target: TargetEntry,
        load: ReportedLoad,
        nowMs: Long,
        isRefusal: Boolean = false,
    ) = reports.record(
        target.id,
        LoadReport(load, nowMs, target.bornAtMs, ownRequests(target.id), isRefusal = isRefusal),
    )

    /** Logs, once for each target, that it reported its load in a form that can't be read. */
    fun recordUnreadable(
        target: TargetId,
        text: String,
    ) {
        if (unreadable.add(target)) log.warn { "reported load ignored, malformed: target=$target load='$text'" }
    }

    /** Records the load that targets reported to a peer. */
    fun onNews(
        news: List<LoadNews>,
        nowMs: Long,
    ) = reports.onNews(news, nowMs, ::ownRequests)

    /** Load to tell peers, of the targets for which [isShared] is true. */
    fun news(
        nowMs: Long,
        isShared: (TargetId) -> Boolean,
    ): List<LoadNews> = reports.news(nowMs, isShared)

    /** Discards what is known of all other targets than [targets]. */
    fun retain(targets: Set<TargetId>) {
        reports.retain(targets)
        unreadable.retainAll(targets)
    }

    /** Requests that run and wait at [target] as of its last response; 0 if that is too old or missing. */
    fun recentlyReported(
        target: TargetId,
        nowMs: Long,
    ): Int = reports[target]?.takeIf { nowMs - it.receivedAtMs <= REPORT_MAX_AGE_MS }?.requests ?: 0

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

    /** Returns a target with little load among [candidates]; prefers one in [localZone] unless it is clearly busier. */
    fun pick(
        candidates: List<TargetEntry>,
        localZone: ZoneId,
        nowMs: Long,
    ): TargetEntry? =
        if (stateSpeed(candidates)) {
            placement.pick(expected(candidates, nowMs), localZone)?.target
        } else {
            candidates.minWithOrNull(order(localZone))
        }

    /** Returns [candidates] from the one with the least load, with the same preference of [localZone]. */
    fun byLoad(
        candidates: List<TargetEntry>,
        localZone: ZoneId,
        nowMs: Long,
    ): List<TargetEntry> =
        if (stateSpeed(candidates)) {
            placement.ordered(expected(candidates, nowMs), localZone).map { it.target }
        } else {
            candidates.sortedWith(order(localZone))
        }

    /** True if all slots of [target] are taken, as far as this VM knows. */
    fun isFull(
        target: TargetEntry,
        nowMs: Long,
    ): Boolean = if (stateSpeed(listOf(target))) expected(listOf(target), nowMs).first().isFull else load(target) >= 1.0

    /** True if any of [targets] states its speed. */
    internal fun stateSpeed(targets: List<TargetEntry>): Boolean =
        targets.any { reports.of(it)?.load?.slowdown != null }

    internal fun expected(
        targets: List<TargetEntry>,
        nowMs: Long,
    ): List<ExpectedLoad> = reports.expected(targets, ::ownRequests, nowMs)

    /**
     * True if the latest word of each of [targets] was a refusal with all slots taken, and none can have freed a slot
     * since; an undisturbed request takes [serviceMs].
     */
    internal fun haveNoRoom(
        targets: List<TargetEntry>,
        serviceMs: Double,
        nowMs: Long,
    ): Boolean =
        targets.all { target ->
            val report = reports.of(target) ?: return false
            val slowdown = report.load.slowdown ?: return false
            val slots = target.slots.coerceAtLeast(1)
            val ageMs = nowMs - report.receivedAtMs
            report.isRefusal && report.load.running >= slots && ageMs < serviceMs * slowdown / slots
        }

    internal fun reportOf(target: TargetEntry): LoadReport? = reports.of(target)

    private fun ownRequests(target: TargetId) = inFlight[target] ?: 0

    private fun order(localZone: ZoneId): Comparator<TargetEntry> =
        compareBy({ load(it) + if (it.zone == localZone) 0.0 else OTHER_ZONE_PENALTY }, { it.id })

    private fun sentCount(
        route: Route,
        service: ServiceId,
    ) = sentByService[route.id.value to service] ?: 0

    private fun load(target: TargetEntry): Double {
        val reportedRequests = reports[target.id]?.requests ?: 0
        return maxOf(ownRequests(target.id), reportedRequests) / target.slots.coerceAtLeast(1).toDouble()
    }

    private companion object {
        /** Load added to a target in another zone: half of its slots. */
        const val OTHER_ZONE_PENALTY = 0.5

        /** A few requests of typical duration begin and end within this time. */
        const val REPORT_MAX_AGE_MS = 300L
    }
}
