/*
 * Tasks of the steward that holds its zone's lease: publishing the target table, scaling pools, draining targets,
 * rolling out weights, and dividing the targets' slots among the entries.
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
import io.guavashore.targets.ScaleThresholds
import io.guavashore.wire.ControlMessage
import io.guavashore.wire.FactKeys
import io.guavashore.wire.SharedResources
import kotlinx.serialization.json.Json
import java.util.UUID

private val log = KotlinLogging.logger {}

/**
 * State of the steward that [ZoneController] reads. [listedEntries] are the VMs whose entries may get shares;
 * [liveEntries] are the members whose entries must confirm a drain.
 */
internal class ZoneContext(
    val declarations: () -> List<Declaration>,
    val listedEntries: () -> List<VmId>,
    val liveEntries: () -> Set<VmId>,
)

/** Controller of one zone, for one term of its lease, identified by [fencingNumber]. */
internal class ZoneController(
    private val zone: ZoneId,
    private val lease: LeaseManager,
    private val fencingNumber: FencingNumber,
    private val platform: Platform,
    engines: EngineControl,
    private val facts: FactTable,
    private val context: ZoneContext,
    private val clock: MonotonicClock,
) {
    private val allocator = ShareAllocator(startedAtMs = clock())
    private val drain = DrainTracker()
    private val scalers = HashMap<Pair<TeamId, PoolId>, PoolScaler>()
    private val weights = WeightRollouts(platform.latestWeights, engines, clock)
    private val health = TargetHealth(engines)
    private val orderSender =
        OrderSender(zone, OrderLease(lease::held, lease::recordIntent), platform.orders, clock, kindOf = ::kindOf)
    private var sequence = 0L
    private var publishedTable: TargetTable? = currentTable()
    private var reconciled = false

    /**
     * Runs one round of the tasks that need the lease. Targets are started and stopped only once the order that a
     * predecessor may have left open is reconciled.
     */
    suspend fun step() {
        if (!reconciled) reconciled = orderSender.reconcile()
        val listed = platform.orders.list(zone).getOrElse { return }
        health.probe(listed.map(::toTarget))
        weights.step(runningEngines(listed), lease.held(), context.declarations(), health)
        publish(listed)
        if (!reconciled) return
        stopDrained()
        scale(listed)
    }

    /** Records the demands and the requests in flight of an entry and returns its shares of this zone's slots. */
    fun sharesFor(request: ControlMessage.ShareRequest): Map<ResourceId, Long> {
        val knownTable =
            request.tableVersions.firstOrNull {
                it.key == FactKeys.targets(zone) &&
                    it.term == fencingNumber.value
            }
        val inFlight = InFlightReport(knownTable?.sequence ?: -1, request.inFlight)
        synchronized(this) {
            drain.report(request.vm, inFlight)
            val totals = table()?.targets.orEmpty().associate { SharedResources.slots(it.id) to it.slots.toLong() }
            return allocator.report(request.vm, request.demands, ShareLimits(totals, context.listedEntries()), clock())
        }
    }

    private fun table(): TargetTable? = publishedTable

    private fun currentTable(): TargetTable? =
        facts[FactKeys.targets(zone)]?.let { Json.decodeFromString<TargetTable>(it.content) }

    private fun publish(listed: List<PlatformTarget>) {
        synchronized(this) {
            markLeaving(listed)
            val targets = listed.filter { it.stage != PlatformStage.STOPPED }.map(::toTarget).sortedBy { it.id }
            val current = publishedTable
            if (current != null && current.fencingNumber == fencingNumber && current.targets == targets) return
            val table = TargetTable(zone, fencingNumber, ++sequence, targets)
            publishedTable = table
            val version = FactVersion(FactKeys.targets(zone), fencingNumber.value, sequence)
            facts.offer(Fact(version, Json.encodeToString(table)))
        }
    }

    /** Marks drained targets as leaving from the next published table on; forgets those that are no longer listed. */
    private fun markLeaving(listed: List<PlatformTarget>) {
        val drained = context.declarations().flatMap { it.drainedTargets }.toSet()
        listed.filter { it.id in drained }.forEach { drain.markLeaving(it.id, sequence + 1) }
        drain.leaving.filter { id -> listed.none { it.id == id } }.forEach(drain::forget)
    }

    private fun toTarget(target: PlatformTarget): Target =
        Target(
            id = target.id,
            team = target.team,
            pool = target.pool,
            kind = target.kind,
            zone = zone,
            endpoint = target.endpoint,
            slots = poolOf(target.team, target.pool)?.slotsPerTarget ?: 1,
            stage = stageOf(target),
            cheap = target.cheap,
            startedAtMs = target.startedAtMs,
        )

    private fun stageOf(target: PlatformTarget): TargetStage =
        when {
            target.stage == PlatformStage.RECLAIMING || drain.isLeaving(target.id) -> TargetStage.LEAVING
            target.stage == PlatformStage.STARTING -> TargetStage.STARTING
            weights.isExcluded(target.id) || health.isDown(target.id) -> TargetStage.FAILED
            target.kind == TargetKind.MODEL && health.version(target.id) == null -> TargetStage.STARTING
            else -> TargetStage.SERVING
        }

    private fun runningEngines(listed: List<PlatformTarget>) =
        listed.filter { it.stage == PlatformStage.RUNNING && it.kind == TargetKind.MODEL }.map(::toTarget)

    private suspend fun stopDrained() {
        val ready = synchronized(this) { drain.drained(context.liveEntries()) }
        val target = ready.firstOrNull() ?: return
        val intent = OrderIntent(UUID.randomUUID().toString(), IntentKind.STOP, target = target)
        if (orderSender.send(intent) == OrderOutcome.Done) log.info { "target stopped after drain: target=$target" }
    }

    private suspend fun scale(listed: List<PlatformTarget>) {
        context.declarations().forEach { declaration ->
            declaration.pools.forEach { pool -> scalePool(declaration, pool, listed) }
        }
    }

    private suspend fun scalePool(
        declaration: Declaration,
        pool: PoolDeclaration,
        listed: List<PlatformTarget>,
    ) {
        val bounds = pool.zones.firstOrNull { it.zone == zone } ?: return
        val poolTargets = listed.filter { it.team == declaration.team && it.pool == pool.id }
        val usable = poolTargets.filter { !drain.isLeaving(it.id) && !health.isDown(it.id) }
        val scaler = scalers.getOrPut(declaration.team to pool.id) { PoolScaler() }
        val thresholds = ScaleThresholds.of(declaration.policy)
        when (val next = scaler.next(bounds, pool.slotsPerTarget, thresholds, usable, load(usable), clock())) {
            ScaleStep.Keep -> Unit
            is ScaleStep.Start -> start(declaration.team, pool.id, next.cheap, scaler)
            is ScaleStep.Retire -> synchronized(this) { drain.markLeaving(next.target.id, sequence + 1) }
        }
    }

    private fun load(targets: List<PlatformTarget>): PoolLoad {
        val nowMs = clock()
        val loads = synchronized(this) { targets.map { allocator.load(SharedResources.slots(it.id), nowMs) } }
        val inUse = loads.sumOf { it.inUse }
        return PoolLoad(inUse, waiting = maxOf(0, loads.sumOf { it.desired } - inUse))
    }

    private suspend fun start(
        team: TeamId,
        pool: PoolId,
        cheap: Boolean,
        scaler: PoolScaler,
    ) {
        val intent = OrderIntent(UUID.randomUUID().toString(), IntentKind.START, pool.value, team.value, cheap)
        if (orderSender.send(intent) == OrderOutcome.NoneAvailable) {
            log.warn { "no cheap target available, starting regular ones for a while: zone=$zone pool=$pool" }
            scaler.recordCheapUnavailable(clock())
        }
    }

    private fun kindOf(
        team: TeamId,
        pool: PoolId,
    ): TargetKind? = poolOf(team, pool)?.kind

    private fun poolOf(
        team: TeamId,
        pool: PoolId,
    ) = context.declarations().firstOrNull { it.team == team }?.pool(pool)
}
