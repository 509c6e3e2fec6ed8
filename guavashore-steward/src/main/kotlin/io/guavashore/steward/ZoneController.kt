/*
 * Duties of the steward that holds its zone's lease: the table of targets, their scaling and draining, weights,
 * shares of their slots, and the zone's usage.
 */
package io.guavashore.steward

import com.github.michaelbull.result.getOrElse
import io.github.oshai.kotlinlogging.KotlinLogging
import io.guavashore.admission.ResourceId
import io.guavashore.admission.ShareAllocator
import io.guavashore.admission.ShareLimits
import io.guavashore.api.Declaration
import io.guavashore.api.FencingNumber
import io.guavashore.api.MonotonicClock
import io.guavashore.api.PoolDeclaration
import io.guavashore.api.PoolId
import io.guavashore.api.Target
import io.guavashore.api.TargetId
import io.guavashore.api.TargetKind
import io.guavashore.api.TargetStage
import io.guavashore.api.TargetTable
import io.guavashore.api.TeamId
import io.guavashore.api.VmId
import io.guavashore.api.ZoneId
import io.guavashore.leases.HeldLease
import io.guavashore.leases.IntentKind
import io.guavashore.leases.LeaseManager
import io.guavashore.leases.OrderIntent
import io.guavashore.membership.Fact
import io.guavashore.membership.FactTable
import io.guavashore.membership.FactVersion
import io.guavashore.platform.Platform
import io.guavashore.platform.PlatformStage
import io.guavashore.platform.PlatformTarget
import io.guavashore.targets.DrainTracker
import io.guavashore.targets.InFlightReport
import io.guavashore.targets.OrderLease
import io.guavashore.targets.OrderOutcome
import io.guavashore.targets.OrderSender
import io.guavashore.targets.PoolLoad
import io.guavashore.targets.PoolScaler
import io.guavashore.targets.ScaleStep
import io.guavashore.targets.ScaleTerms
import io.guavashore.wire.ControlMessage
import io.guavashore.wire.FactKeys
import io.guavashore.wire.SharedResources
import kotlinx.serialization.json.Json
import java.util.UUID

private val log = KotlinLogging.logger {}

/** What the controller needs to know of the rest of the steward. */
internal class ZoneView(
    val declarations: () -> List<Declaration>,
    val entries: () -> List<VmId>,
    val liveEntries: () -> Set<VmId>,
)

/** Controller of one zone, for one term of its lease. */
internal class ZoneController(
    private val zone: ZoneId,
    private val lease: LeaseManager,
    private val fencingNumber: FencingNumber,
    private val platform: Platform,
    engines: EngineControl,
    private val facts: FactTable,
    private val view: ZoneView,
    private val clock: MonotonicClock,
) {
    private val allocator = ShareAllocator(startedAtMs = clock())
    private val drain = DrainTracker()
    private val scalers = HashMap<Pair<TeamId, PoolId>, PoolScaler>()
    private val weights = WeightRollouts(platform.latestWeights, engines, clock)
    private val health = TargetHealth(engines)
    private val sender =
        OrderSender(zone, OrderLease(lease::held, lease::recordIntent), platform.orders, clock, kindOf = ::kindOf)
    private var sequence = 0L
    private var published: TargetTable? = currentTable()
    private var settled = false

    /** One round of all duties that need the lease. */
    suspend fun step() {
        if (!settled) settled = sender.settle()
        val present = platform.orders.list(zone).getOrElse { return }
        health.probe(present.map(::toTarget))
        weights.step(zoneTargets(present), lease.held(), view.declarations(), health)
        publish(present)
        if (!settled) return
        stopDrained()
        scale(present)
    }

    /** Shares of this zone's slots for an entry, and what it runs there. */
    fun report(request: ControlMessage.ShareRequest): Map<ResourceId, Long> {
        val known =
            request.tableVersions.firstOrNull {
                it.key == FactKeys.targets(zone) &&
                    it.term == fencingNumber.value
            }
        val report = InFlightReport(known?.sequence ?: -1, request.inFlight)
        synchronized(this) {
            drain.report(request.vm, report)
            val totals = table()?.targets.orEmpty().associate { SharedResources.slots(it.id) to it.slots.toLong() }
            return allocator.report(request.vm, request.demands, ShareLimits(totals, view.entries()), clock())
        }
    }

    private fun table(): TargetTable? = published

    private fun currentTable(): TargetTable? =
        facts[FactKeys.targets(zone)]?.let { Json.decodeFromString<TargetTable>(it.content) }

    private fun publish(present: List<PlatformTarget>) {
        synchronized(this) {
            markLeaving(present)
            val targets = present.filter { it.stage != PlatformStage.STOPPED }.map(::toTarget).sortedBy { it.id }
            val current = published
            if (current != null && current.fencingNumber == fencingNumber && current.targets == targets) return
            val table = TargetTable(zone, fencingNumber, ++sequence, targets)
            published = table
            val version = FactVersion(FactKeys.targets(zone), fencingNumber.value, sequence)
            facts.offer(Fact(version, Json.encodeToString(table)))
        }
    }

    /** Drained targets leave from the table that is published next. */
    private fun markLeaving(present: List<PlatformTarget>) {
        val drained = view.declarations().flatMap { it.drainedTargets }.toSet()
        present.filter { it.id in drained }.forEach { drain.markLeaving(it.id, sequence + 1) }
        drain.leaving.filter { id -> present.none { it.id == id } }.forEach(drain::forget)
    }

    private fun toTarget(row: PlatformTarget): Target =
        Target(
            id = row.id,
            team = row.team,
            pool = row.pool,
            kind = row.kind,
            zone = zone,
            endpoint = row.endpoint,
            slots = poolOf(row.team, row.pool)?.slotsPerTarget ?: 1,
            stage = stageOf(row),
            cheap = row.cheap,
            startedAtMs = row.startedAtMs,
        )

    private fun stageOf(row: PlatformTarget): TargetStage =
        when {
            row.stage == PlatformStage.RECLAIMING || drain.isLeaving(row.id) -> TargetStage.LEAVING
            row.stage == PlatformStage.STARTING -> TargetStage.STARTING
            weights.isTakenOut(row.id) || health.isDown(row.id) -> TargetStage.FAILED
            row.kind == TargetKind.MODEL && health.version(row.id) == null -> TargetStage.STARTING
            else -> TargetStage.SERVING
        }

    private fun zoneTargets(present: List<PlatformTarget>) =
        present.filter { it.stage == PlatformStage.RUNNING && it.kind == TargetKind.MODEL }.map(::toTarget)

    private suspend fun stopDrained() {
        val ready = synchronized(this) { drain.drained(view.liveEntries()) }
        val target = ready.firstOrNull() ?: return
        val intent = OrderIntent(UUID.randomUUID().toString(), IntentKind.STOP, target = target)
        if (sender.send(intent) == OrderOutcome.Done) log.info { "target stopped after its drain: $target" }
    }

    private suspend fun scale(present: List<PlatformTarget>) {
        view.declarations().forEach { declaration ->
            declaration.pools.forEach { pool -> scalePool(declaration, pool, present) }
        }
    }

    private suspend fun scalePool(
        declaration: Declaration,
        pool: PoolDeclaration,
        present: List<PlatformTarget>,
    ) {
        val bounds = pool.zones.firstOrNull { it.zone == zone } ?: return
        val own = present.filter { it.team == declaration.team && it.pool == pool.id }
        val kept = own.filter { !drain.isLeaving(it.id) && !health.isDown(it.id) }
        val scaler = scalers.getOrPut(declaration.team to pool.id) { PoolScaler() }
        val terms = ScaleTerms.of(declaration.policy)
        when (val next = scaler.next(bounds, pool.slotsPerTarget, terms, kept, load(kept), clock())) {
            ScaleStep.Keep -> Unit
            is ScaleStep.Start -> start(declaration.team, pool.id, next.cheap, scaler)
            is ScaleStep.Retire -> synchronized(this) { drain.markLeaving(next.target.id, sequence + 1) }
        }
    }

    private fun load(targets: List<PlatformTarget>): PoolLoad {
        val nowMs = clock()
        val loads = synchronized(this) { targets.map { allocator.load(SharedResources.slots(it.id), nowMs) } }
        val inUse = loads.sumOf { it.inUse }
        return PoolLoad(inUse, waiting = maxOf(0, loads.sumOf { it.wanted } - inUse))
    }

    private suspend fun start(
        team: TeamId,
        pool: PoolId,
        cheap: Boolean,
        scaler: PoolScaler,
    ) {
        val intent = OrderIntent(UUID.randomUUID().toString(), IntentKind.START, pool.value, team.value, cheap)
        if (sender.send(intent) == OrderOutcome.NoneAvailable) {
            log.warn { "no cheap target to be had in $zone for pool $pool; regular ones are taken for a while" }
            scaler.cheapWasMissing(clock())
        }
    }

    private fun kindOf(
        team: TeamId,
        pool: PoolId,
    ): TargetKind? = poolOf(team, pool)?.kind

    private fun poolOf(
        team: TeamId,
        pool: PoolId,
    ) = view.declarations().firstOrNull { it.team == team }?.pool(pool)
}
