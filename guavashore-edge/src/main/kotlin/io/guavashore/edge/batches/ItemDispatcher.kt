/*
 * Runs items on engines: places what waits, takes in how runs end, and moves runs off slow engines.
 */
package io.guavashore.edge.batches

import io.github.oshai.kotlinlogging.KotlinLogging
import io.guavashore.api.MonotonicClock
import io.guavashore.api.ServiceId
import io.guavashore.api.TargetId
import io.guavashore.api.WallClock
import io.guavashore.edge.declared.ModelId
import io.guavashore.edge.declared.EdgeDeclaration
import io.guavashore.edge.declared.TargetEntry
import io.guavashore.edge.targets.TargetDirectory
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch

private val log = KotlinLogging.logger {}

/** What the weights keeper says of an engine: whether it loads, and whether it takes requests of a model. */
class EngineStatus(
    val isLoading: (TargetId) -> Boolean,
    val serves: (TargetId, ModelId) -> Boolean,
)

/** Runs of one coordinator's term; they end with [scope]. */
class ItemDispatcher(
    private val scope: CoroutineScope,
    private val call: ItemCall,
    private val directory: TargetDirectory,
    private val pace: EnginePace,
    private val engineStatus: EngineStatus,
    private val clock: MonotonicClock,
    private val wallClock: WallClock,
    private val terms: PlacementTerms = PlacementTerms(),
) {
    private class Run(
        val item: ItemState,
        val engine: TargetId,
        val startedMs: Long,
        var job: Job? = null,
    )

    private val runs = HashMap<ItemState, Run>()

    /** Completes when something has changed that may allow another step; replaced then. */
    private var changed = CompletableDeferred<Unit>()

    /** Items that run on [engine] now. */
    fun runningOn(engine: TargetId): Int = runs.values.count { it.engine == engine }

    /** Has whoever waits look again. */
    fun wake() {
        changed.complete(Unit)
    }

    /** Waits until something has changed. */
    suspend fun awaitChange() {
        changed.await()
        changed = CompletableDeferred()
    }

    /** Starts what can start. */
    fun step(
        waiting: List<ItemState>,
        map: EdgeDeclaration,
    ) {
        val now = clock()
        val demands = waiting.filter { it.notBeforeMs <= now }.mapNotNull { demandOf(it, map) }
        if (demands.isNotEmpty()) {
            place(demands, engineViews(map), terms).forEach { start(it) }
        }
    }

    /** Ends the run of [item], if there is one. */
    fun cancel(item: ItemState) {
        runs[item]?.job?.cancel()
    }

    private fun engineViews(map: EdgeDeclaration): List<EngineView> {
        val itemsByEngine = runs.values.groupBy({ it.engine }, { it.item })
        return directory.usable().mapNotNull { view(it, itemsByEngine[it.id].orEmpty(), map) }
    }

    private fun view(
        entry: TargetEntry,
        running: List<ItemState>,
        map: EdgeDeclaration,
    ): EngineView? {
        val spec = map.services[entry.service]?.engine ?: return null
        return EngineView(
            id = entry.id,
            service = entry.service,
            slots = spec.slots,
            memoryTokens = spec.memoryTokens,
            versions = directory.versions(entry).filterKeys { engineStatus.serves(entry.id, it) },
            runs = running.map { it.estimate(terms) },
            msPerEvent = pace.of(entry.id),
            isUsable = !engineStatus.isLoading(entry.id) && !directory.isSuspect(entry.id),
            isLoading = engineStatus.isLoading(entry.id),
        )
    }

    private fun start(assignment: Assignment) {
        val item = assignment.item
        val engine = directory[assignment.engine] ?: return
        val run = Run(item, engine.id, clock())
        item.phase = ItemPhase.RUNNING
        runs[item] = run
        run.job = scope.launch(start = CoroutineStart.UNDISPATCHED) { carryOut(run, engine) }
    }

    private suspend fun carryOut(
        run: Run,
        engine: TargetEntry,
    ) {
        val record = run.item.batch.record
        val began = run.item.progress.size
        try {
            val leftMs = record.giveUpAtMs - wallClock()
            finished(run, call.run(run.item, engine, record.host, record.organisation, leftMs), began)
        } finally {
            if (runs[run.item] === run) runs.remove(run.item)
            if (run.item.phase == ItemPhase.RUNNING) run.item.phase = ItemPhase.WAITING
            wake()
        }
    }

    private fun finished(
        run: Run,
        outcome: RunOutcome,
        began: Int,
    ) {
        val item = run.item
        when (outcome) {
            RunOutcome.Completed -> {
                directory.recordSuccess(run.engine)
                item.batch.complete(item, clock())
            }
            RunOutcome.Failed -> failedRun(run)
            RunOutcome.Impossible -> item.batch.settle(item, ItemOutcome.GIVEN_UP, clock())
            is RunOutcome.NotRun -> {
                item.avoid += run.engine
                item.notBeforeMs = clock() + NOT_RUN_PAUSE_MS
            }
            is RunOutcome.Broken -> brokenRun(run, outcome, began)
        }
        log.info {
            "item run ended: item=${item.spec.id} batch=${item.batch.id} engine=${run.engine} outcome=$outcome " +
                "events=${item.progress.size} from=$began ms=${clock() - run.startedMs} " +
                "estimate_tokens=${item.spec.expectedOutputTokens} most_tokens=${item.spec.maxOutputTokens} " +
                "prompt_tokens=${item.spec.promptTokens}"
        }
    }

    private fun failedRun(run: Run) {
        val item = run.item
        item.failures++
        item.avoid += run.engine
        item.progress.clear()
        if (item.failures >= item.batch.record.maxAttempts) item.batch.settle(item, ItemOutcome.GIVEN_UP, clock())
    }

    private fun brokenRun(
        run: Run,
        outcome: RunOutcome.Broken,
        began: Int,
    ) {
        val item = run.item
        if (outcome.discard) item.progress.clear()
        item.avoid += run.engine
        if (item.progress.size != began) return
        directory.recordFailure(run.engine)
        item.crashed += run.engine
        item.notBeforeMs = clock() + (CRASH_PAUSE_MS shl minOf(item.crashed.size, MOST_DOUBLINGS))
    }

    /** Moves runs off engines that have turned slow or load weights. */
    fun moveStragglers(map: EdgeDeclaration) {
        val movable = runs.values.filter { it.item.progress.size > 0 && clock() - it.startedMs >= LEAST_RUN_MS }
        if (movable.isEmpty()) return
        val views = engineViews(map).associateBy { it.id }
        movable.forEach { run ->
            val current = views[run.engine] ?: return@forEach
            val demand = demandOf(run.item, map) ?: return@forEach
            val better = betterEngine(demand, current, views.values.toList(), terms) ?: return@forEach
            log.info {
                "item moves: item=${run.item.spec.id} from=${run.engine} loading=${current.isLoading} " +
                    "pace_ms=${current.msPerEvent?.toInt()} to=${better.id} pace_ms=${better.msPerEvent?.toInt()} " +
                    "events=${run.item.progress.size}"
            }
            run.item.avoid += run.engine
            run.job?.cancel()
        }
    }

    private companion object {
        /** An engine that is full or loads weights takes requests again within about this time. */
        const val NOT_RUN_PAUSE_MS = 100L

        /** An item whose run crashed is sent again after this, longer after each engine that it took down. */
        const val CRASH_PAUSE_MS = 100L

        /** Longest pause 3.2 s: an item that is at no engine for 5 s counts as lost. */
        const val MOST_DOUBLINGS = 5

        /** Time in which a run's pace shows. */
        const val LEAST_RUN_MS = 300L
    }
}

/** What [item] needs of an engine under [map]; null if its route is gone. */
internal fun demandOf(
    item: ItemState,
    map: EdgeDeclaration,
): ItemDemand? {
    val service =
        map
            .route(item.batch.record.host, item.spec.path)
            ?.backends
            ?.firstOrNull()
            ?.service
    return service?.let { ItemDemand(item, it, item.batch.record.model) }
}

/** Number of items of [batches] that have no result and go to [service]. */
internal fun openItemsOf(
    batches: Collection<BatchState>,
    service: ServiceId,
    map: EdgeDeclaration,
): Int = batches.sumOf { batch -> batch.items.count { it.needsEngine && demandOf(it, map)?.service == service } }
