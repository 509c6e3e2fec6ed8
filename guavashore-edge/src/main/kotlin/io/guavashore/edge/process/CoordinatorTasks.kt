/*
 * Creates and starts the coordinator's tasks for each term: batches, weights, usage reports, scaling, retirements and
 * evacuations.
 */
package io.guavashore.edge.process

import io.guavashore.api.MonotonicClock
import io.guavashore.api.ServiceId
import io.guavashore.api.WallClock
import io.guavashore.edge.batches.BatchIntake
import io.guavashore.edge.batches.BatchKnowledge
import io.guavashore.edge.batches.BatchReader
import io.guavashore.edge.batches.BatchRunner
import io.guavashore.edge.batches.BatchStore
import io.guavashore.edge.batches.Dispatchers
import io.guavashore.edge.batches.EnginePace
import io.guavashore.edge.batches.EngineStatus
import io.guavashore.edge.batches.ItemCall
import io.guavashore.edge.batches.ItemDispatcher
import io.guavashore.edge.batches.ItemState
import io.guavashore.edge.batches.ResumableTexts
import io.guavashore.edge.batches.ScoreCall
import io.guavashore.edge.batches.ScoreDispatcher
import io.guavashore.edge.batches.ScoringTargets
import io.guavashore.edge.batches.TermFence
import io.guavashore.edge.batches.TextPart
import io.guavashore.edge.batches.TextReplicator
import io.guavashore.edge.coordinator.CoordinatorTerm
import io.guavashore.edge.declared.ModelId
import io.guavashore.edge.duties.EngineDemandView
import io.guavashore.edge.duties.EngineScaler
import io.guavashore.edge.duties.LeaseGrant
import io.guavashore.edge.duties.UsageCounters
import io.guavashore.edge.duties.UsageReporter
import io.guavashore.edge.evacuation.EvacuationReporter
import io.guavashore.edge.evacuation.EvacuationView
import io.guavashore.edge.forward.TargetLoads
import io.guavashore.edge.limits.PermitIssuer
import io.guavashore.edge.limits.PermitSource
import io.guavashore.edge.limits.RequestLimits
import io.guavashore.edge.peers.PeerCall
import io.guavashore.edge.peers.PeerReply
import io.guavashore.edge.streams.StreamOrigin
import io.guavashore.edge.streams.StreamRecordCleaner
import io.guavashore.edge.targets.EngineControl
import io.guavashore.edge.targets.TargetConnectionPool
import io.guavashore.edge.targets.TargetDirectory
import io.guavashore.edge.weights.VersionRequirements
import io.guavashore.edge.weights.WeightUpdater
import io.guavashore.platform.CallStore
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay

/** This VM's target directory, its connections to targets and its statistics on them. */
class TargetComponents(
    val directory: TargetDirectory,
    val connections: TargetConnectionPool,
    val loads: TargetLoads,
    val pace: EnginePace,
    val limits: RequestLimits,
)

/** Dependencies of the coordinator's tasks that exist for longer than a term. */
class CoordinatorDependencies(
    val ports: PlatformPorts,
    val settings: EdgeSettings,
    val batchStore: BatchStore,
    val call: CallStore,
    /** Whether the store has stated lately that it is unavailable. */
    val isStoreOut: () -> Boolean,
    val targets: TargetComponents,
    val sharedState: SharedState,
    val usage: UsageCounters,
    /** Null if zones can't be evacuated on this deployment. */
    val evacuations: EvacuationView?,
)

/** Sends each standby VM the parts of the texts of [items] that [replicator] has not recorded as sent to that VM. */
typealias ReplicateTexts = (replicator: TextReplicator, items: List<ItemState>) -> Unit

/** Tasks of the coordinator; they run while this VM is the coordinator. Not thread-safe. */
class CoordinatorTasks(
    private val dependencies: CoordinatorDependencies,
    private val clock: MonotonicClock,
    private val medianTimeMs: WallClock,
    private val leaseGrant: () -> LeaseGrant?,
    private val replicateTexts: ReplicateTexts,
) {
    private val resumableTexts = ResumableTexts()
    private val replicator = TextReplicator()
    private var term: CoordinatorTerm? = null
    private var runner: BatchRunner? = null
    private var dispatcher: ItemDispatcher? = null
    private var weights: WeightUpdater? = null

    /** Starts the tasks of term [fencingNumber]; they end when [scope] is cancelled. */
    fun start(
        scope: CoroutineScope,
        fencingNumber: Long,
    ) {
        val requestPermits = dependencies.targets.limits.permits
        val issuer = PermitIssuer(dependencies.targets.limits.rates, clock)
        val permits = requestPermits.from(issuer)
        val updater = weightUpdater(scope)
        val knowledge = BatchKnowledge(clock, dependencies.isStoreOut)
        val items = itemDispatcher(scope, updater, permits, knowledge)
        val batches =
            batchRunner(scope, fencingNumber, items, scoreDispatcher(scope, items::wake, permits, knowledge), knowledge)
        dispatcher = items
        val current =
            CoordinatorTerm(
                batches,
                BatchIntake(
                    scope::launchWithRestart,
                    batches,
                    knowledge,
                    dependencies.batchStore,
                    dependencies.call,
                    clock,
                ),
                BatchReader(batches, clock, medianTimeMs),
                issuer,
                requestPermits,
                dependencies.batchStore,
                dependencies.call,
                dependencies.ports.emptiedStatus,
                medianTimeMs,
            )
        runner = batches
        weights = updater
        term = current
        scope.launchWithRestart("stored batches") { current.followBatches() }
        scope.launchWithRestart("retirements") { current.followRetirements(SharedCollections.RETIREMENTS) }
        evacuationReporter()?.let { reporter -> scope.launchWithRestart("evacuations") { reporter.run() } }
        scope.launchWithRestart("expired batches") { current.deleteExpiredBatches() }
        scope.launchWithRestart("open batches") { batches.run() }
        scope.launchWithRestart("weights") { updater.run() }
        scope.launchWithRestart("usage") { usageReporter().run() }
        scope.launchWithRestart("scaling") { engineScaler(batches, updater).run() }
        scope.launchWithRestart("stream records") { streamRecordCleaner().run() }
        scope.launchWithRestart("text replication") { replicateTextsPeriodically(batches) }
    }

    /** Stores text parts received from the coordinator, from which items resume if this VM takes over. */
    fun storePartialTexts(parts: List<TextPart>) = parts.forEach(resumableTexts::add)

    /** Sends the missing text parts to the standby VMs before the lease is released. */
    fun handOver() = runner?.let { replicateTexts(replicator, it.unlistedTexts()) }

    private suspend fun replicateTextsPeriodically(batches: BatchRunner) {
        while (true) {
            replicateTexts(replicator, batches.unlistedTexts())
            delay(TEXT_REPLICATION_INTERVAL_MS)
        }
    }

    /** Handles a call to the coordinator; replies [PeerReply.NotHere] if this VM has not been coordinator. */
    suspend fun handleCall(call: PeerCall): PeerReply = term?.handleCall(call) ?: PeerReply.NotHere

    /** Wakes the tasks that depend on the shared state. */
    fun onSharedStateChanged() {
        dispatcher?.wake()
        weights?.wake()
    }

    private fun batchRunner(
        scope: CoroutineScope,
        fencingNumber: Long,
        items: ItemDispatcher,
        scores: ScoreDispatcher,
        knowledge: BatchKnowledge,
    ) = BatchRunner(
        scope = scope,
        fence = TermFence(fencingNumber, isHeld = { leaseGrant()?.fencingNumber == fencingNumber }),
        store = dependencies.batchStore,
        dispatchers = Dispatchers(items, scores),
        resumableTexts = resumableTexts,
        knowledge = knowledge,
        declared = { dependencies.sharedState.declaration },
        clock = clock,
        wallClock = medianTimeMs,
    )

    private fun itemDispatcher(
        scope: CoroutineScope,
        updater: WeightUpdater,
        permits: PermitSource,
        knowledge: BatchKnowledge,
    ) = ItemDispatcher(
        scope = scope,
        call =
            ItemCall(
                dependencies.ports.targets,
                dependencies.targets.connections,
                dependencies.targets.directory,
                dependencies.targets.pace,
                dependencies.targets.limits::onNoLimitNamed,
                clock,
                knowledgeAgeMs = knowledge::ageMs,
                mayRun = knowledge::mayRun,
            ),
        directory = dependencies.targets.directory,
        pace = dependencies.targets.pace,
        engineStatus = EngineStatus(updater::isLoading, updater::serves),
        clock = clock,
        wallClock = medianTimeMs,
        permits = permits,
    )

    private fun scoreDispatcher(
        scope: CoroutineScope,
        wake: () -> Unit,
        permits: PermitSource,
        knowledge: BatchKnowledge,
    ) = ScoreDispatcher(
        scope = scope,
        call =
            ScoreCall(
                dependencies.ports.targets,
                dependencies.targets.connections,
                dependencies.targets.limits::onNoLimitNamed,
                dependencies.targets.directory::isEvacuated,
            ) { target, load -> dependencies.targets.loads.recordLoad(target, load, clock()) },
        targets = ScoringTargets(dependencies.targets.directory, dependencies.targets.loads),
        clock = clock,
        wallClock = medianTimeMs,
        wake = wake,
        mayRun = knowledge::mayRun,
        permits = permits,
    )

    private fun weightUpdater(scope: CoroutineScope) =
        WeightUpdater(
            scope = scope,
            declared = { dependencies.sharedState.declaration },
            requirements = VersionRequirements({ dependencies.sharedState.publishedVersions }, ::minAcceptedVersion),
            directory = dependencies.targets.directory,
            control =
                EngineControl(
                    dependencies.targets.connections,
                    dependencies.ports.targets,
                    dependencies.targets.directory::isEvacuated,
                ) {
                    dependencies.targets.limits.permits
                        .await(it, MAX_CONTROL_WAIT_MS)
                },
            runningOn = { dispatcher?.runningOn(it) ?: 0 },
            leaseGrant = leaseGrant,
            clock = clock,
            onLoaded = { dispatcher?.wake() },
            isLimited = dependencies.targets.limits.permits::isLimited,
        )

    /** Oldest version that all open batches of [model] accept; 0 if there are none. */
    private fun minAcceptedVersion(model: ModelId): Long =
        runner
            ?.open
            ?.filter { it.record.model == model }
            ?.maxOfOrNull { it.record.minVersion } ?: 0

    private fun usageReporter() =
        UsageReporter(
            counters = dependencies.usage,
            port = dependencies.ports.coordinatorPort,
            call = dependencies.call,
            leaseGrant = leaseGrant,
            medianTimeMs = medianTimeMs,
            windowMs = dependencies.settings.usageWindowMs,
        )

    /**
     * Time between two versions of a model, estimated from the shortest due time of the routes to [service]: a trainer
     * that submits a step ahead publishes about two versions in the time within which a step is due.
     */
    private fun versionIntervalMs(service: ServiceId): Long {
        val routes =
            dependencies.sharedState.declaration
                ?.routes
                .orEmpty()
        val dueMs =
            routes.filter { route -> route.backends.any { it.service == service } }.mapNotNull { it.batch?.dueMs }
        return (dueMs.minOrNull() ?: DEFAULT_DUE_MS) / 2
    }

    private fun evacuationReporter() =
        dependencies.evacuations?.let {
            EvacuationReporter(it, dependencies.call, dependencies.ports.emptiedStatus, leaseGrant, clock)
        }

    private fun streamRecordCleaner() =
        StreamRecordCleaner(
            call = dependencies.call,
            listed = {
                dependencies.targets.directory
                    .all()
                    .mapTo(HashSet()) { StreamOrigin.of(it) }
            },
            clock = clock,
            wallClock = medianTimeMs,
        )

    private fun engineScaler(
        batches: BatchRunner,
        updater: WeightUpdater,
    ) = EngineScaler(
        declared = { dependencies.sharedState.declaration },
        view =
            EngineDemandView(
                openItems = batches::openItemsOf,
                running = { service, zone ->
                    dependencies.targets.directory
                        .usable(service)
                        .count { it.zone == zone }
                },
                loadsPerSecond = updater::loadsPerSecond,
                versionIntervalMs = ::versionIntervalMs,
                evacuatedZones = dependencies.evacuations?.zones ?: { emptySet() },
            ),
        port = dependencies.ports.coordinatorPort,
        leaseGrant = leaseGrant,
        clock = clock,
    )

    private companion object {
        /** Limits the generation work that is repeated after a failover; a shorter interval costs more messages. */
        const val TEXT_REPLICATION_INTERVAL_MS = 300L

        /** A load that is ordered later than this is still in time for the next version. */
        const val MAX_CONTROL_WAIT_MS = 2_000L

        /** Used if no route declares a due time for its results. */
        const val DEFAULT_DUE_MS = 8_000L
    }
}
