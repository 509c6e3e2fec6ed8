/*
 * Runs all open batches; active on the coordinator only.
 *
 * Two runners at once do no harm beyond work done twice: the store fixes what is listed. So a runner goes on
 * through outages of the store, and stops when it learns that another VM has taken over.
 */
package io.guavashore.edge.batches

import io.github.oshai.kotlinlogging.KotlinLogging
import io.guavashore.api.MonotonicClock
import io.guavashore.api.ServiceId
import io.guavashore.api.TargetId
import io.guavashore.api.WallClock
import io.guavashore.edge.declared.ModelId
import io.guavashore.edge.declared.ServiceMap
import io.guavashore.edge.declared.TargetEntry
import io.guavashore.edge.targets.TargetDirectory
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull

private val log = KotlinLogging.logger {}

/** What the weights keeper says of an engine: whether it loads, and whether it takes requests of a model. */
class EngineUses(
    val isLoading: (TargetId) -> Boolean,
    val serves: (TargetId, ModelId) -> Boolean,
)

/** Runner of batches in [scope], which is cancelled when this VM ceases to be the coordinator. */
class BatchRunner(
    private val scope: CoroutineScope,
    private val store: BatchStore,
    private val call: ItemCall,
    private val directory: TargetDirectory,
    private val pace: EnginePace,
    private val declared: () -> ServiceMap?,
    private val uses: EngineUses,
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

    private val batches = LinkedHashMap<BatchId, BatchState>()
    private val runs = HashMap<ItemState, Run>()
    private val committing = HashSet<BatchId>()
    private val earlier = EarlierTexts()
    private var changed = CompletableDeferred<Unit>()

    /** Batches that have not ended. */
    val open: Collection<BatchState> get() = batches.values

    /** Works until the scope is cancelled. */
    suspend fun run() {
        while (scope.isActive) {
            step()
            withTimeoutOrNull(STEP_EVERY_MS) { changed.await() }
            changed = CompletableDeferred()
        }
    }

    /** Takes a batch over, with the chunks of results that are in the store. */
    fun adopt(
        stored: StoredBatch,
        chunks: List<ResultChunk>,
    ) {
        if (stored.record.ended || stored.id in batches) return
        val batch = BatchState(stored.id, stored.record, stored.revision)
        chunks.forEach(batch::list)
        batch.items.forEach { item -> earlier.of(item.spec.id)?.let(item.progress::adopt) }
        batches[stored.id] = batch
        log.info {
            "batch adopted: batch=${stored.id} revision=${stored.revision} model=${stored.record.model} " +
                "step=${stored.record.step} items=${batch.items.size} listed=${batch.results.size} " +
                "least_version=${stored.record.leastVersion}"
        }
        wake()
    }

    operator fun get(id: BatchId): BatchState? = batches[id]

    /** Stops the work of a batch whose end was asked for. */
    fun end(id: BatchId) {
        val batch = batches.remove(id) ?: return
        batch.end()
        earlier.keep(batch)
        batch.items.mapNotNull(runs::get).forEach { it.job?.cancel() }
        log.info {
            "batch ended: batch=$id listed=${batch.results.size} of=${batch.items.size} " +
                "running=${batch.items.count { it.phase == ItemPhase.RUNNING }}"
        }
        wake()
    }

    /** Waits up to [waitMs] until the batch has a result at [after]. */
    suspend fun awaitResult(
        batch: BatchState,
        after: Int,
        waitMs: Long,
    ) {
        val deadlineMs = clock() + waitMs
        while (batch.results.size <= after && !batch.isDone && !batch.ended) {
            val leftMs = deadlineMs - clock()
            if (leftMs <= 0) return
            withTimeoutOrNull(leftMs) { batch.listedMore.await() }
        }
    }

    /** Items that run on [engine] now. */
    fun runningOn(engine: TargetId): Int = runs.values.count { it.engine == engine }

    /** Number of items of open batches that have no result and go to [service]. */
    fun openItemsOf(service: ServiceId): Int {
        val map = declared() ?: return 0
        return batches.values.sumOf { batch ->
            batch.items
                .filter { it.phase == ItemPhase.WAITING || it.phase == ItemPhase.RUNNING }
                .count { demand(it, map)?.service == service }
        }
    }

    /** Has the runner look again soon. */
    fun wake() {
        changed.complete(Unit)
    }

    private fun step() {
        val map = declared() ?: return
        batches.values.forEach { giveUp(it, map) }
        val engines = engineViews(map)
        place(waitingDemands(map), engines.values.toList(), terms).forEach { start(it, map) }
        moveStragglers(map)
        batches.values.forEach(::commit)
        batches.values.filter { it.isDone }.forEach { earlier.drop(it) }
    }

    private fun engineViews(map: ServiceMap): Map<TargetId, EngineView> =
        directory.usable().mapNotNull { entry -> view(entry, map) }.associateBy { it.id }

    private fun view(
        entry: TargetEntry,
        map: ServiceMap,
    ): EngineView? {
        val spec = map.services[entry.service]?.engine ?: return null
        val here = runs.values.filter { it.engine == entry.id }
        return EngineView(
            id = entry.id,
            service = entry.service,
            slots = spec.slots,
            memoryTokens = spec.memoryTokens,
            versions = directory.versions(entry).filterKeys { uses.serves(entry.id, it) },
            running = here.size,
            reservedTokens = here.sumOf { it.item.memoryNeed(terms) },
            msPerEvent = pace.of(entry.id),
            isUsable = !uses.isLoading(entry.id) && !directory.isSuspect(entry.id),
        )
    }

    private fun waitingDemands(map: ServiceMap): List<ItemDemand> {
        val now = clock()
        return batches.values.flatMap { batch ->
            batch.items
                .filter { it.phase == ItemPhase.WAITING && it.notBeforeMs <= now }
                .mapNotNull { demand(it, map) }
        }
    }

    private fun demand(
        item: ItemState,
        map: ServiceMap,
    ): ItemDemand? {
        val route = map.route(item.batch.record.host, item.spec.path) ?: return null
        val service = route.backends.firstOrNull()?.service ?: return null
        return ItemDemand(item, service, item.batch.record.model)
    }

    private fun start(
        assignment: Assignment,
        map: ServiceMap,
    ) {
        val item = assignment.item
        val engine = directory[assignment.engine] ?: return
        if (map.route(item.batch.record.host, item.spec.path) == null) return
        item.phase = ItemPhase.RUNNING
        val run = Run(item, engine.id, clock())
        runs[item] = run
        run.job =
            scope.launch(start = CoroutineStart.UNDISPATCHED) {
                val leftMs = item.batch.record.giveUpAtMs - wallClock()
                val began = item.progress.size
                try {
                    val outcome = call.run(item, engine, item.batch.record.host, item.batch.record.organisation, leftMs)
                    finished(run, outcome, began)
                } finally {
                    released(run)
                }
            }
    }

    private fun released(run: Run) {
        if (runs[run.item] === run) runs.remove(run.item)
        if (run.item.phase == ItemPhase.RUNNING) run.item.phase = ItemPhase.WAITING
        wake()
    }

    private fun finished(
        run: Run,
        outcome: RunOutcome,
        began: Int,
    ) {
        val item = run.item
        when (outcome) {
            RunOutcome.Completed -> {
                directory.worked(run.engine)
                item.batch.settle(item, ItemOutcome.COMPLETED, clock())
            }
            RunOutcome.Failed -> failedRun(run)
            RunOutcome.Impossible -> if (++item.impossible >= 1) item.batch.settle(item, ItemOutcome.GIVEN_UP, clock())
            is RunOutcome.NotRun -> {
                item.avoid += run.engine
                item.notBeforeMs = clock() + NOT_RUN_PAUSE_MS
            }
            is RunOutcome.Broken -> brokenRun(run, outcome, began)
        }
        log.info {
            "item run ended: item=${item.spec.id} batch=${item.batch.id} engine=${run.engine} outcome=$outcome " +
                "events=${item.progress.size} from=$began ms=${clock() - run.startedMs}"
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
        if (item.progress.size == began) {
            directory.failed(run.engine)
            item.crashed += run.engine
            item.notBeforeMs = clock() + (CRASH_PAUSE_MS shl minOf(item.crashed.size, MOST_DOUBLINGS))
        }
    }

    private fun moveStragglers(map: ServiceMap) {
        val views by lazy { engineViews(map) }
        runs.values
            .filter { clock() - it.startedMs >= LEAST_RUN_BEFORE_MOVE_MS && it.item.progress.size > 0 }
            .forEach { run ->
                val current = views[run.engine] ?: return@forEach
                val demand = demand(run.item, map) ?: return@forEach
                val better = betterEngine(demand, current, views.values.toList(), terms) ?: return@forEach
                log.info {
                    "item moves: item=${run.item.spec.id} from=${run.engine} pace_ms=${current.msPerEvent?.toInt()} " +
                        "to=${better.id} pace_ms=${better.msPerEvent?.toInt()} events=${run.item.progress.size}"
                }
                run.item.avoid += run.engine
                run.job?.cancel()
            }
    }

    /** Lists items as given up whose route or time is gone. */
    private fun giveUp(
        batch: BatchState,
        map: ServiceMap,
    ) {
        val isLate = wallClock() >= batch.record.giveUpAtMs
        batch.items
            .filter { it.phase == ItemPhase.WAITING || it.phase == ItemPhase.RUNNING }
            .filter { isLate || map.route(batch.record.host, it.spec.path) == null }
            .forEach { item ->
                runs[item]?.job?.cancel()
                batch.settle(item, ItemOutcome.GIVEN_UP, clock())
                log.warn { "item given up: item=${item.spec.id} batch=${batch.id} late=$isLate" }
            }
    }

    private fun commit(batch: BatchState) {
        if (batch.id in committing) return
        val items = resultsToCommit(batch, clock())
        if (items.isEmpty()) return
        committing += batch.id
        scope.launch {
            try {
                val chunk = ResultChunk(items.mapNotNull { it.result })
                val written = store.append(batch.id, batch.nextChunk, chunk)
                batch.list(written)
                log.info {
                    "results listed: batch=${batch.id} chunk=${batch.nextChunk - 1} total=${batch.results.size}"
                }
            } finally {
                committing -= batch.id
                wake()
            }
        }
    }

    private companion object {
        /** Timed duties (giving up, late commits, moves) are looked at this often; all else wakes the runner. */
        const val STEP_EVERY_MS = 100L

        /** An engine that is full or loads weights takes requests again within about this time. */
        const val NOT_RUN_PAUSE_MS = 100L

        /** An item whose run crashed is sent again after this, longer after each engine that it took down. */
        const val CRASH_PAUSE_MS = 100L

        /** Longest pause 3.2 s: an item that is at no engine for 5 s counts as lost. */
        const val MOST_DOUBLINGS = 5

        /** Time in which a run's pace shows. */
        const val LEAST_RUN_BEFORE_MOVE_MS = 300L
    }
}
