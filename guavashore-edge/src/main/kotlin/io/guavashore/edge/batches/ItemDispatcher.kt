/*
 * Runs items on engines: places waiting items, handles the outcomes of runs, and moves runs off slow engines and out of
 * zones under evacuation.
 */
package io.guavashore.edge.batches

import io.github.oshai.kotlinlogging.KotlinLogging
import io.guavashore.api.MonotonicClock
import io.guavashore.api.ServiceId
import io.guavashore.api.TargetId
import io.guavashore.api.WallClock
import io.guavashore.edge.declared.EdgeDeclaration
import io.guavashore.edge.declared.ModelId
import io.guavashore.edge.declared.TargetEntry
import io.guavashore.edge.limits.Permit
import io.guavashore.edge.limits.PermitSource
import io.guavashore.edge.targets.ReceivedResponse
import io.guavashore.edge.targets.TargetDirectory
import io.guavashore.edge.targets.logFields
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch

private val log = KotlinLogging.logger {}

/** Status of engines: whether an engine is loading weights, and whether it accepts requests for a model. */
class EngineStatus(
    val isLoading: (TargetId) -> Boolean,
    val serves: (TargetId, ModelId) -> Boolean,
)

/** Runs items in [scope], which is cancelled when this VM stops being the coordinator. */
class ItemDispatcher(
    private val scope: CoroutineScope,
    private val call: ItemCall,
    private val directory: TargetDirectory,
    private val pace: EnginePace,
    private val engineStatus: EngineStatus,
    private val clock: MonotonicClock,
    private val wallClock: WallClock,
    private val permits: PermitSource = PermitSource.UNLIMITED,
    private val config: PlacementConfig = PlacementConfig(),
) {
    private class Run(
        val item: ItemState,
        val engine: TargetId,
        val startedMs: Long,
        var job: Job? = null,
    ) {
        /** Response from which the outcome was taken; null if there was none. */
        var response: ReceivedResponse? = null
    }

    private val runs = HashMap<ItemState, Run>()

    /** Completes on a change that may allow another step; replaced by a new one each time. */
    private var changed = CompletableDeferred<Unit>()

    /** Number of items that run on [engine]. */
    fun runningOn(engine: TargetId): Int = runs.values.count { it.engine == engine }

    /** Ends [awaitChange], so that its caller takes another step. */
    fun wake() {
        changed.complete(Unit)
    }

    /** Suspends until a change may allow another step. */
    suspend fun awaitChange() {
        changed.await()
        changed = CompletableDeferred()
    }

    /**
     * Starts those of the [waiting] items for which an engine has capacity. Runs in zones under evacuation compete with
     * them in the same order, and are cancelled only if there is capacity for them elsewhere.
     */
    fun step(
        waiting: List<ItemState>,
        declaration: EdgeDeclaration,
    ) {
        val now = clock()
        // Needed only for routes that several services share.
        val services by lazy(LazyThreadSafetyMode.NONE) { servicesWithTargets() }
        val ready = waiting.filter { it.notBeforeMs <= now }
        val demands = ready.mapNotNull { item -> demandOf(item, declaration, hasTargets = { it in services }) }
        val evacuees = evacuees().mapNotNull { run -> demandOf(run.item, declaration, hasTargets = { it in services }) }
        if (demands.isEmpty() && evacuees.isEmpty()) return
        val engines = engineViews(declaration)
        itemsToRestart(demands, engines, now, config).forEach { item ->
            log.info {
                "text discarded, no engine can continue it: item=${item.spec.id} batch=${item.batch.id} " +
                    "software=${item.progress.software} events=${item.progress.size} " +
                    "waited_ms=${now - item.waitingSinceMs}"
            }
            item.progress.clear()
        }
        placeItems(demands + evacuees, engines, config).forEach {
            val run = runs[it.item]
            if (run == null) start(it) else evacuate(run, it.engine)
        }
    }

    private fun evacuees(): List<Run> = runs.values.filter { directory[it.engine]?.let(directory::isEvacuated) == true }

    /** Cancels [run]; its item waits from then on, and the next step places it. */
    private fun evacuate(
        run: Run,
        engine: TargetId,
    ) {
        log.info {
            "moving item out of a zone under evacuation: item=${run.item.spec.id} batch=${run.item.batch.id} " +
                "from=${run.engine} to=$engine events=${run.item.progress.size} ms=${clock() - run.startedMs}"
        }
        run.job?.cancel()
    }

    /** Cancels the run of [item], if there is one. */
    fun cancel(item: ItemState) {
        runs[item]?.job?.cancel()
    }

    private fun servicesWithTargets(): Set<ServiceId> = directory.usable().mapTo(HashSet()) { it.service }

    private fun engineViews(declaration: EdgeDeclaration): List<EngineView> {
        val itemsByEngine = runs.values.groupBy({ it.engine }, { it.item })
        return directory.usable().mapNotNull { view(it, itemsByEngine[it.id].orEmpty(), declaration) }
    }

    private fun view(
        entry: TargetEntry,
        running: List<ItemState>,
        declaration: EdgeDeclaration,
    ): EngineView? {
        val spec = declaration.services[entry.service]?.engine ?: return null
        return EngineView(
            id = entry.id,
            service = entry.service,
            slots = spec.slots,
            memoryTokens = spec.memoryTokens,
            software = entry.software,
            versions = directory.versions(entry).filterKeys { engineStatus.serves(entry.id, it) },
            runs = running.map { it.memoryEstimate(config) },
            msPerEvent = pace.of(entry.id),
            isUsable = !engineStatus.isLoading(entry.id) && !directory.isSuspect(entry.id),
            isLoading = engineStatus.isLoading(entry.id),
            startsAllowed = permits.available(entry.id),
            isCold = permits.isCold(entry.id),
        )
    }

    private fun start(assignment: Assignment) {
        val item = assignment.item
        val engine = directory[assignment.engine] ?: return
        val permit = permits.take(engine.id) ?: return
        val run = Run(item, engine.id, clock())
        item.phase = ItemPhase.RUNNING
        runs[item] = run
        run.job = scope.launch(start = CoroutineStart.UNDISPATCHED) { execute(run, engine, permit) }
    }

    private suspend fun execute(
        run: Run,
        engine: TargetEntry,
        permit: Permit,
    ) {
        val record = run.item.batch.record
        val eventsBefore = run.item.progress.size
        try {
            val leftMs = record.giveUpAtMs - wallClock()
            val outcome = call.run(run.item, engine, permit, leftMs) { run.response = it }
            onRunEnded(run, outcome, eventsBefore)
        } finally {
            if (runs[run.item] === run) runs.remove(run.item)
            if (run.item.phase == ItemPhase.RUNNING) {
                run.item.phase = ItemPhase.WAITING
                run.item.waitingSinceMs = clock()
            }
            wake()
        }
    }

    private fun onRunEnded(
        run: Run,
        outcome: RunOutcome,
        eventsBefore: Int,
    ) {
        val item = run.item
        when (outcome) {
            RunOutcome.Completed -> {
                directory.recordSuccess(run.engine)
                item.batch.complete(item, clock())
            }
            RunOutcome.Failed -> handleFailure(run)
            RunOutcome.Impossible -> item.batch.settle(item, ItemOutcome.GIVEN_UP, clock())
            is RunOutcome.NotRun -> {
                item.avoidedEngines += run.engine
                item.notBeforeMs = clock() + NOT_RUN_RETRY_DELAY_MS
            }
            is RunOutcome.Broken -> handleInterruption(run, outcome, eventsBefore)
        }
        log.info {
            "item run ended: item=${item.spec.id} batch=${item.batch.id} engine=${run.engine} " +
                "software=${directory[run.engine]?.software} outcome=$outcome ${run.response.logFields()} " +
                "events=${item.progress.size} from=$eventsBefore ms=${clock() - run.startedMs} " +
                "estimate_tokens=${item.spec.expectedOutputTokens} most_tokens=${item.spec.maxOutputTokens} " +
                "prompt_tokens=${item.spec.promptTokens}"
        }
    }

    private fun handleFailure(run: Run) {
        val item = run.item
        item.failures++
        item.avoidedEngines += run.engine
        item.progress.clear()
        if (item.failures >= item.batch.record.maxAttempts) item.batch.settle(item, ItemOutcome.GIVEN_UP, clock())
    }

    private fun handleInterruption(
        run: Run,
        outcome: RunOutcome.Broken,
        eventsBefore: Int,
    ) {
        val item = run.item
        if (outcome.discard) item.progress.clear()
        item.avoidedEngines += run.engine
        if (item.progress.size != eventsBefore) return
        directory.recordFailure(run.engine)
        item.crashedEngines += run.engine
        item.notBeforeMs = clock() + (CRASH_BACKOFF_MS shl minOf(item.crashedEngines.size, MAX_DOUBLINGS))
    }

    /** Cancels runs on engines that have become slow or load weights, so that their items are placed elsewhere. */
    fun moveStragglers(declaration: EdgeDeclaration) {
        val movable = runs.values.filter { it.item.progress.size > 0 && clock() - it.startedMs >= MIN_RUN_MS }
        if (movable.isEmpty()) return
        val views = engineViews(declaration).associateBy { it.id }
        val services = servicesWithTargets()
        movable.forEach { run ->
            val current = views[run.engine] ?: return@forEach
            val demand = demandOf(run.item, declaration, services::contains) ?: return@forEach
            val better = betterEngine(demand, current, views.values.toList(), config) ?: return@forEach
            log.info {
                "moving item to another engine: item=${run.item.spec.id} from=${run.engine} " +
                    "loading=${current.isLoading} pace_ms=${current.msPerEvent?.toInt()} " +
                    "to=${better.id} pace_ms=${better.msPerEvent?.toInt()} events=${run.item.progress.size}"
            }
            run.item.avoidedEngines += run.engine
            run.job?.cancel()
        }
    }

    private companion object {
        /** An engine that is full or loads weights accepts requests again within about this time. */
        const val NOT_RUN_RETRY_DELAY_MS = 100L

        /** Base delay before an item is sent again after a crash; doubles with each engine that crashed on it. */
        const val CRASH_BACKOFF_MS = 100L

        /** Limits the delay to 3.2 s, since an item that is on no engine for 5 s is considered lost. */
        const val MAX_DOUBLINGS = 5

        /** Minimum age of a run before it may be moved; its pace is not known earlier. */
        const val MIN_RUN_MS = 300L
    }
}

/** Number of items of [batches] that wait for or run on engines of [service]. */
internal fun openItemsOf(
    batches: Collection<BatchState>,
    service: ServiceId,
    declaration: EdgeDeclaration,
): Int =
    batches.sumOf { batch ->
        batch.items.count { it.needsEngine && demandOf(it, declaration)?.service == service }
    }
