/*
 * Builds the parts of a coordinator's term anew for each term.
 */
package io.guavashore.edge.process

import io.guavashore.api.MonotonicClock
import io.guavashore.api.ServiceId
import io.guavashore.api.WallClock
import io.guavashore.edge.batches.BatchRunner
import io.guavashore.edge.batches.BatchStore
import io.guavashore.edge.batches.ResumableTexts
import io.guavashore.edge.batches.EnginePace
import io.guavashore.edge.batches.EngineStatus
import io.guavashore.edge.batches.ItemCall
import io.guavashore.edge.batches.ItemDispatcher
import io.guavashore.edge.batches.ItemState
import io.guavashore.edge.batches.ScoreCall
import io.guavashore.edge.batches.ScoreDispatcher
import io.guavashore.edge.batches.ScoringTargets
import io.guavashore.edge.batches.TextReplicator
import io.guavashore.edge.batches.TextPart
import io.guavashore.edge.coordinator.Term
import io.guavashore.edge.declared.ModelId
import io.guavashore.edge.duties.LeaseGrant
import io.guavashore.edge.duties.EngineDemandView
import io.guavashore.edge.duties.ScaleDuty
import io.guavashore.edge.duties.UsageBook
import io.guavashore.edge.duties.UsageDuty
import io.guavashore.edge.forward.TargetLoads
import io.guavashore.edge.peers.PeerCall
import io.guavashore.edge.peers.PeerReply
import io.guavashore.edge.targets.EngineControl
import io.guavashore.edge.targets.TargetConnectionPool
import io.guavashore.edge.targets.TargetDirectory
import io.guavashore.edge.weights.VersionNeeds
import io.guavashore.edge.weights.WeightDuty
import io.guavashore.platform.CallStore
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay

/** What the VM knows of targets, and its connections to them. */
class TargetParts(
    val directory: TargetDirectory,
    val connections: TargetConnectionPool,
    val loads: TargetLoads,
    val pace: EnginePace,
)

/** What outlives a term. */
class CoordinatorParts(
    val ports: PlatformPorts,
    val settings: EdgeSettings,
    val batchStore: BatchStore,
    val call: CallStore,
    val targets: TargetParts,
    val beliefs: Beliefs,
    val usage: UsageBook,
)

/** Sends to the VMs that would take over what they lack of the texts of the items. */
typealias SendTexts = (copies: TextReplicator, items: List<ItemState>) -> Unit

/** Work of the coordinator, while this VM is the coordinator. */
class CoordinatorWork(
    private val parts: CoordinatorParts,
    private val clock: MonotonicClock,
    private val trueTimeMs: WallClock,
    private val right: () -> LeaseGrant?,
    private val sendTexts: SendTexts,
) {
    private val resumableTexts = ResumableTexts()
    private val copies = TextReplicator()
    private var term: Term? = null
    private var runner: BatchRunner? = null
    private var dispatcher: ItemDispatcher? = null
    private var weights: WeightDuty? = null

    /** Starts the term of [fencingNumber]; it ends with [scope]. */
    fun begin(
        scope: CoroutineScope,
        fencingNumber: Long,
    ) {
        val keeper = weightDuty(scope)
        val runs = itemDispatcher(scope, keeper)
        val batches = batchRunner(scope, fencingNumber, runs, scoreDispatcher(scope, runs::wake))
        dispatcher = runs
        val current = Term(batches, parts.batchStore, parts.call, parts.ports.emptiedStatus, trueTimeMs)
        runner = batches
        weights = keeper
        term = current
        scope.keepRunning("batches of the store") { current.followBatches() }
        scope.keepRunning("retirements") { current.followRetirements(SharedCollections.RETIREMENTS) }
        scope.keepRunning("old batches") { current.removeOldBatches() }
        scope.keepRunning("open batches") { batches.run() }
        scope.keepRunning("weights") { keeper.run() }
        scope.keepRunning("usage") { usageDuty().run() }
        scope.keepRunning("scaling") { scaleDuty(batches, keeper).run() }
        scope.keepRunning("copies of texts") { copyTexts(batches) }
    }

    /** Keeps parts of texts that the coordinator sent, for the case that this VM takes over. */
    fun keepTexts(parts: List<TextPart>) = parts.forEach(resumableTexts::add)

    /** Sends what successors lack of the texts, before the lease is given up. */
    fun handOver() = runner?.let { sendTexts(copies, it.unlistedTexts()) }

    private suspend fun copyTexts(batches: BatchRunner) {
        while (true) {
            sendTexts(copies, batches.unlistedTexts())
            delay(COPY_EVERY_MS)
        }
    }

    /** Answers a call that only a coordinator can answer. */
    suspend fun answer(call: PeerCall): PeerReply = term?.answer(call) ?: PeerReply.NotHere

    /** Has the work look at changed beliefs. */
    fun onBeliefsChanged() {
        dispatcher?.wake()
        weights?.wake()
    }

    private fun batchRunner(
        scope: CoroutineScope,
        fencingNumber: Long,
        runs: ItemDispatcher,
        scores: ScoreDispatcher,
    ) = BatchRunner(
        scope = scope,
        fence = fencingNumber,
        store = parts.batchStore,
        dispatcher = runs,
        scores = scores,
        resumableTexts = resumableTexts,
        declared = { parts.beliefs.declaration },
        clock = clock,
        wallClock = trueTimeMs,
    )

    private fun itemDispatcher(
        scope: CoroutineScope,
        keeper: WeightDuty,
    ) = ItemDispatcher(
        scope = scope,
        call =
            ItemCall(
                parts.ports.targets,
                parts.targets.connections,
                parts.targets.directory,
                parts.targets.pace,
                clock,
            ),
        directory = parts.targets.directory,
        pace = parts.targets.pace,
        engineStatus = EngineStatus(keeper::isLoading, keeper::serves),
        clock = clock,
        wallClock = trueTimeMs,
    )

    private fun scoreDispatcher(
        scope: CoroutineScope,
        wake: () -> Unit,
    ) = ScoreDispatcher(
        scope = scope,
        call =
            ScoreCall(parts.ports.targets, parts.targets.connections) { target, load ->
                parts.targets.loads.reported(target.id, load, clock())
            },
        targets = ScoringTargets(parts.targets.directory, parts.targets.loads),
        clock = clock,
        wallClock = trueTimeMs,
        wake = wake,
    )

    private fun weightDuty(scope: CoroutineScope) =
        WeightDuty(
            scope = scope,
            declared = { parts.beliefs.declaration },
            needs = VersionNeeds({ parts.beliefs.namedVersions }, ::leastWanted),
            directory = parts.targets.directory,
            control = EngineControl(parts.targets.connections, parts.ports.targets),
            runningOn = { dispatcher?.runningOn(it) ?: 0 },
            right = right,
            clock = clock,
            onLoaded = { dispatcher?.wake() },
        )

    private fun leastWanted(model: ModelId): Long =
        runner
            ?.open
            ?.filter { it.record.model == model }
            ?.maxOfOrNull { it.record.minVersion } ?: 0

    private fun usageDuty() =
        UsageDuty(
            book = parts.usage,
            port = parts.ports.duties,
            call = parts.call,
            right = right,
            trueTimeMs = trueTimeMs,
            windowMs = parts.settings.usageWindowMs,
        )

    /** A trainer that submits a step ahead names a version about twice in the time that a step has. */
    private fun versionEveryMs(service: ServiceId): Long {
        val routes =
            parts.beliefs.declaration
                ?.routes
                .orEmpty()
        val due = routes.filter { route -> route.backends.any { it.service == service } }.mapNotNull { it.batch?.dueMs }
        return (due.minOrNull() ?: USUAL_DUE_MS) / 2
    }

    private fun scaleDuty(
        batches: BatchRunner,
        keeper: WeightDuty,
    ) = ScaleDuty(
        declared = { parts.beliefs.declaration },
        view =
            EngineDemandView(
                openItems = batches::openItemsOf,
                running = { service, zone ->
                    parts.targets.directory
                        .usable(service)
                        .count { it.zone == zone }
                },
                loadsPerSecond = keeper::loadsPerSecond,
                versionEveryMs = ::versionEveryMs,
            ),
        port = parts.ports.duties,
        right = right,
        clock = clock,
    )

    private companion object {
        /** Work that a change of coordinator repeats at most, beside the time it takes; smaller costs more messages. */
        const val COPY_EVERY_MS = 300L

        /** Used while no route says when results are due. */
        const val USUAL_DUE_MS = 8_000L
    }
}
