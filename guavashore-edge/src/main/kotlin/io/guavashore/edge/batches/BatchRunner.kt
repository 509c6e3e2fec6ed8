/*
 * Runs all open batches; active on the coordinator only.
 *
 * Two runners at once do no harm beyond work done twice: the store fixes what is listed. So a runner goes on
 * through outages of the store, and stops when it learns that another VM has taken over. A runner answers readers from
 * its memory, which must hold all that is listed: who takes a batch over first writes an empty chunk with its fencing
 * number, and a runner that meets a higher number than its own lists no more.
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

/** Runner of batches in [scope], which is cancelled when this VM ceases to be the coordinator. */
class BatchRunner(
    private val scope: CoroutineScope,
    private val fence: Long,
    private val store: BatchStore,
    private val dispatcher: ItemDispatcher,
    private val scores: ScoreDispatcher,
    private val resumableTexts: ResumableTexts,
    private val declared: () -> EdgeDeclaration?,
    private val clock: MonotonicClock,
    private val wallClock: WallClock,
) {
    private val batches = LinkedHashMap<BatchId, BatchState>()
    private val committing = HashSet<BatchId>()
    private var nextTimedMs = 0L

    /** Batches that ended in this term. */
    val ended = EndedBatches()

    /** Batches that have not ended. */
    val open: Collection<BatchState> get() = batches.values

    /** Works until the scope is cancelled. */
    suspend fun run() {
        while (scope.isActive) {
            declared()?.let { step(it) }
            delay(GATHER_MS)
            withTimeoutOrNull(STEP_EVERY_MS) { dispatcher.awaitChange() }
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
        resumableTexts.resume(batch, clock())
        batches[stored.id] = batch
        log.info {
            "batch adopted: batch=${stored.id} revision=${stored.revision} model=${stored.record.model} " +
                "step=${stored.record.step} items=${batch.items.size} listed=${batch.results.size} " +
                "begun=${batch.items.count { it.progress.size > 0 }} least_version=${stored.record.minVersion}"
        }
        dispatcher.wake()
    }

    /** Takes a batch over from another coordinator, with the [chunks] that were in the store. */
    suspend fun takeOver(
        stored: StoredBatch,
        chunks: List<ResultChunk>,
    ) {
        val sealed = store.seal(stored.id, chunks, fence)
        if (sealed.last().fence == fence) return adopt(stored, sealed)
        log.info { "batch not taken over: batch=${stored.id} own_fence=$fence fence=${sealed.last().fence}" }
    }

    operator fun get(id: BatchId): BatchState? = batches[id]

    /** Stops the work of a batch whose end was asked for. */
    fun end(id: BatchId) {
        val batch = batches[id] ?: return
        // Otherwise an earlier coordinator may have listed more than is known here; readers then ask the store.
        if (batch.lastFence == fence) ended.keep(batch)
        resumableTexts.drop(batch)
        resumableTexts.keep(batch)
        log.info {
            "batch ended: batch=$id listed=${batch.results.size} of=${batch.items.size} " +
                "running=${batch.items.count { it.phase == ItemPhase.RUNNING }}"
        }
        stop(batch)
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

    /** Items whose texts a successor would need. */
    fun unlistedTexts(): List<ItemState> =
        batches.values.flatMap { batch -> batch.items.filter { it.phase != ItemPhase.LISTED && it.progress.size > 0 } }

    /** Number of items that have no result and go to [service]. */
    fun openItemsOf(service: ServiceId): Int = declared()?.let { openItemsOf(batches.values, service, it) } ?: 0

    private fun step(map: EdgeDeclaration) {
        if (clock() >= nextTimedMs) {
            nextTimedMs = clock() + STEP_EVERY_MS
            batches.values.forEach { giveUp(it, map) }
            dispatcher.moveStragglers(map)
        }
        dispatcher.step(batches.values.flatMap { it.waiting() }, map)
        scores.step(batches.values.flatMap { it.unscored() }, map)
        batches.values.forEach(::commit)
    }

    /** Lists items as given up whose route or time is gone. */
    private fun giveUp(
        batch: BatchState,
        map: EdgeDeclaration,
    ) {
        val isLate = wallClock() >= batch.record.giveUpAtMs
        batch.items
            .filter { it.isOpen && (isLate || (it.needsEngine && demandOf(it, map) == null)) }
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
        if (items.isEmpty()) return
        committing += batch.id
        scope.launch {
            try {
                val chunk = ResultChunk(items.mapNotNull { it.result }, fence)
                val written = store.append(batch.id, batch.nextChunk, chunk)
                batch.list(written)
                log.info {
                    "results listed: batch=${batch.id} chunk=${batch.nextChunk - 1} total=${batch.results.size} " +
                        "fence=${written.fence}"
                }
                if (written.fence > fence) leave(batch)
            } finally {
                committing -= batch.id
                dispatcher.wake()
            }
        }
    }

    /** Leaves [batch] to a later coordinator. */
    private fun leave(batch: BatchState) {
        log.info { "batch left to a later coordinator: batch=${batch.id} own_fence=$fence fence=${batch.lastFence}" }
        stop(batch)
    }

    private fun stop(batch: BatchState) {
        batches.remove(batch.id)
        batch.end()
        batch.items.forEach(dispatcher::cancel)
        batch.items.forEach(scores::cancel)
        dispatcher.wake()
    }

    private companion object {
        /** Timed work (giving up, late commits, moves) is looked at this often; all else wakes the runner. */
        const val STEP_EVERY_MS = 100L

        /**
         * A step looks at all engines and waiting items, and runs end by the dozen when a large pool is full; what ends
         * within this time shares one step. An engine takes four times as long for one event.
         */
        const val GATHER_MS = 10L
    }
}
