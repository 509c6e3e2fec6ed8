/*
 * Runs all open batches; active on the coordinator only.
 *
 * Two concurrent runners are safe, since the store decides which results are listed; they only duplicate work. A runner
 * therefore continues during outages of the store, and stops when it learns that another VM has taken over.
 *
 * Readers are answered from memory, which must hold all listed results. A runner that takes a batch over therefore
 * first writes an empty chunk with its fencing number, and a runner that finds a higher number than its own stops
 * listing results of the batch.
 */
package io.guavashore.edge.batches

import io.github.oshai.kotlinlogging.KotlinLogging
import io.guavashore.api.MonotonicClock
import io.guavashore.api.ServiceId
import io.guavashore.api.WallClock
import io.guavashore.edge.declared.EdgeDeclaration
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull

private val log = KotlinLogging.logger {}

/** Fencing number of a term, and whether no other VM can have become the coordinator since it began. */
class TermFence(
    val number: Long,
    val isHeld: () -> Boolean,
)

/** Dispatchers of items and of score calls. */
class Dispatchers(
    val items: ItemDispatcher,
    val scores: ScoreDispatcher,
)

/**
 * Runs batches in [scope], which is cancelled when this VM stops being the coordinator.
 *
 * @param fence fencing number of this term
 */
class BatchRunner(
    private val scope: CoroutineScope,
    private val fence: TermFence,
    private val store: BatchStore,
    dispatchers: Dispatchers,
    private val resumableTexts: ResumableTexts,
    private val knowledge: BatchKnowledge,
    private val declared: () -> EdgeDeclaration?,
    private val clock: MonotonicClock,
    private val wallClock: WallClock,
) {
    private val dispatcher = dispatchers.items
    private val scores = dispatchers.scores
    private val batches = LinkedHashMap<BatchId, BatchState>()
    private val committing = HashSet<BatchId>()
    private var nextTimedStepMs = 0L

    /** Batches that ended while this VM was the coordinator. */
    val ended = EndedBatches()

    /** Batches that have not ended. */
    val open: Collection<BatchState> get() = batches.values

    /** Processes batches until the scope is cancelled. */
    suspend fun run() {
        while (scope.isActive) {
            declared()?.let { step(it) }
            delay(COALESCING_DELAY_MS)
            withTimeoutOrNull(TIMED_STEP_INTERVAL_MS) { dispatcher.awaitChange() }
        }
    }

    /** Starts running a batch, with the result chunks that are in the store. */
    fun adopt(
        stored: StoredBatch,
        chunks: List<ResultChunk>,
    ) {
        if (stored.record.ended || stored.id in batches) return
        val batch = BatchState(stored.id, stored.record, stored.revision)
        chunks.forEach(batch::applyChunk)
        resumableTexts.resume(batch, clock())
        batches[stored.id] = batch
        log.info {
            "batch adopted: batch=${stored.id} revision=${stored.revision} model=${stored.record.model} " +
                "step=${stored.record.step} items=${batch.items.size} listed=${batch.results.size} " +
                "begun=${batch.items.count { it.progress.size > 0 }} least_version=${stored.record.minVersion}"
        }
        dispatcher.wake()
    }

    /** Takes a batch over from an earlier coordinator, unless a later one has; [chunks] are those read before. */
    suspend fun takeOver(
        stored: StoredBatch,
        chunks: List<ResultChunk>,
    ) {
        val fenced = store.seal(stored.id, chunks, fence.number)
        if (fenced.last().fence == fence.number) return adopt(stored, fenced)
        log.info { "batch not taken over: batch=${stored.id} own_fence=${fence.number} fence=${fenced.last().fence}" }
    }

    operator fun get(id: BatchId): BatchState? = batches[id]

    /** Stops the runs and score calls of a batch whose end was requested, and caches its results and partial texts. */
    fun end(id: BatchId) {
        val batch = batches[id] ?: return
        // Cached only if this coordinator wrote the last chunk. Otherwise an earlier one may have stored results that
        // are unknown here, and readers get the results from the store.
        if (batch.lastFence == fence.number) ended.keep(batch) { knowsAllResults(batch) }
        resumableTexts.removeListed(batch)
        resumableTexts.keep(batch)
        log.info {
            "batch ended: batch=$id listed=${batch.results.size} of=${batch.items.size} " +
                "running=${batch.items.count { it.phase == ItemPhase.RUNNING }}"
        }
        stop(batch)
    }

    /** Takes another step soon, as something on which it depends has changed. */
    fun wake() = dispatcher.wake()

    /** Waits up to [waitMs] until the batch has a result at position [after], is done or has ended. */
    suspend fun awaitResult(
        batch: BatchState,
        after: Int,
        waitMs: Long,
    ) {
        val deadlineMs = clock() + waitMs
        if (batch.results.size <= after && batch.lastFence != fence.number) {
            batch.isSealRequested = true
            dispatcher.wake()
        }
        while (batch.results.size <= after && !batch.isDone && !batch.ended) {
            val leftMs = deadlineMs - clock()
            if (leftMs <= 0) return
            withTimeoutOrNull(leftMs) { batch.updated.await() }
        }
    }

    /**
     * True if no more results of [batch] can be in the store than are known here: this VM wrote the last chunk, no
     * other one can have become the coordinator since, and no write of its own has been without a response for long.
     */
    fun knowsAllResults(batch: BatchState): Boolean {
        val appendingForMs = batch.appendingSinceMs?.let { clock() - it } ?: 0
        return batch.lastFence == fence.number && fence.isHeld() && appendingForMs <= MAX_APPENDING_MS
    }

    /** Unlisted items with partial or complete texts, which a successor could resume from. */
    fun unlistedTexts(): List<ItemState> =
        batches.values.flatMap { batch -> batch.items.filter { it.phase != ItemPhase.LISTED && it.progress.size > 0 } }

    /** Number of items that wait for or run on engines of [service]. */
    fun openItemsOf(service: ServiceId): Int = declared()?.let { openItemsOf(batches.values, service, it) } ?: 0

    private fun step(declaration: EdgeDeclaration) {
        if (clock() >= nextTimedStepMs) {
            nextTimedStepMs = clock() + TIMED_STEP_INTERVAL_MS
            batches.values.forEach { giveUp(it, declaration) }
            dispatcher.moveStragglers(declaration)
        }
        val running = batches.values.filter(knowledge::mayRun)
        dispatcher.step(running.flatMap { it.waiting() }, declaration)
        scores.step(running.flatMap { it.unscored() }, declaration)
        batches.values.forEach(::commit)
    }

    /** Gives up items whose route was removed or whose batch is past its give-up time. */
    private fun giveUp(
        batch: BatchState,
        declaration: EdgeDeclaration,
    ) {
        val isLate = wallClock() >= batch.record.giveUpAtMs
        batch.items
            .filter { it.isOpen && (isLate || (it.needsEngine && demandOf(it, declaration) == null)) }
            .forEach { item ->
                dispatcher.cancel(item)
                scores.cancel(item)
                batch.settle(item, ItemOutcome.GIVEN_UP, clock())
                log.warn { "item given up: item=${item.spec.id} batch=${batch.id} late=$isLate" }
            }
    }

    private fun commit(batch: BatchState) {
        if (batch.id in committing) return
        val items = resultsToCommit(batch, clock())
        val mustSeal = batch.isSealRequested && batch.lastFence != fence.number
        if (items.isEmpty() && !mustSeal) return
        committing += batch.id
        batch.appendingSinceMs = clock()
        scope.launch {
            try {
                val chunk = ResultChunk(items.mapNotNull { it.result }, fence.number)
                val written = store.append(batch.id, batch.nextChunk, chunk)
                batch.applyChunk(written)
                batch.appendingSinceMs = null
                log.info {
                    "results listed: batch=${batch.id} chunk=${batch.nextChunk - 1} total=${batch.results.size} " +
                        "fence=${written.fence}"
                }
                if (written.fence > fence.number) handOver(batch)
            } finally {
                committing -= batch.id
                dispatcher.wake()
            }
        }
    }

    private fun handOver(batch: BatchState) {
        log.info {
            "batch left to a later coordinator: batch=${batch.id} own_fence=${fence.number} fence=${batch.lastFence}"
        }
        stop(batch)
    }

    private fun stop(batch: BatchState) {
        batches.remove(batch.id)
        knowledge.forget(batch.id)
        batch.end()
        batch.items.forEach(dispatcher::cancel)
        batch.items.forEach(scores::cancel)
        dispatcher.wake()
    }

    private companion object {
        /** Interval of time-dependent work (giving up, late commits, moves); all other work wakes the runner. */
        const val TIMED_STEP_INTERVAL_MS = 100L

        /**
         * Runs that end within this time share one step. A step examines all engines and waiting items, and in a full,
         * large pool dozens of runs end at about the same time. The delay is a quarter of an engine's time per event.
         */
        const val COALESCING_DELAY_MS = 10L

        /**
         * A write without a response for longer than this may have been read by others from the store for so long. A
         * position that was read must not be empty 1 s later; the rest is for the way of the reply.
         */
        const val MAX_APPENDING_MS = 300L
    }
}
