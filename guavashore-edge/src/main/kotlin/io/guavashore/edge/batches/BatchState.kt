/*
 * In-memory state of an open batch on the coordinator. Does no I/O: the dispatchers report the outcomes of runs and
 * score calls here, and the runner reports stored chunks.
 *
 * A result is settled when it is known, and listed when it is in the store, where readers can see it.
 */
package io.guavashore.edge.batches

import io.guavashore.api.GroupId
import io.guavashore.api.TargetId
import kotlinx.coroutines.CompletableDeferred

/** Lifecycle of an item. */
enum class ItemPhase {
    /** Needs an engine and has none. */
    WAITING,

    /** Runs on an engine. */
    RUNNING,

    /** The text is complete; the score is not known yet. */
    UNSCORED,

    /** The result is known but not in the store yet. */
    SETTLED,

    /** The result is in the store. */
    LISTED,
}

/** State of one item of an open batch; [position] is its index in the batch. */
class ItemState(
    val batch: BatchState,
    val spec: ItemSpec,
    val position: Int,
) {
    /** Identifies the request of this item across batches, unlike its id. */
    val request: RequestDigest by lazy(LazyThreadSafetyMode.NONE) { RequestDigest.of(batch.record, spec) }

    val progress = ItemProgress(batch.record.minVersion, batch.record.singleVersion)
    var phase = ItemPhase.WAITING
        internal set
    var result: ItemResult? = null
        internal set

    /** Monotonic time at which the result was recorded; 0 before. */
    var settledAtMs = 0L
        internal set

    var score: Score? = null
        internal set

    /** Monotonic time at which the text became complete; 0 before. */
    var textCompleteAtMs = 0L
        internal set

    /** True while the item waits for an engine or runs on one. */
    val needsEngine: Boolean get() = phase == ItemPhase.WAITING || phase == ItemPhase.RUNNING

    /** True while the item has no result. */
    val isOpen: Boolean get() = needsEngine || phase == ItemPhase.UNSCORED

    /** True if the text is the complete output of the item. */
    val isTextComplete: Boolean
        get() = progress.size > 0 && (phase == ItemPhase.UNSCORED || result?.outcome == ItemOutcome.COMPLETED)

    /** Number of runs that an engine reported as failed. */
    var failures = 0
        internal set

    /** Number of score calls that a target answered with a failure. */
    var scoreFailures = 0
        internal set

    /** Engines that receive the item again only if no other engine can run it. */
    val avoidedEngines = HashSet<TargetId>()

    /** Engines on which a run of the item broke off without a new event; the item may have crashed them. */
    val crashedEngines = HashSet<TargetId>()

    /** Monotonic time since which the item has been waiting for an engine with a text; 0 before the first run. */
    var waitingSinceMs = 0L

    /** Monotonic time before which the item is not sent again. */
    var notBeforeMs = 0L

    val group: GroupId get() = spec.group ?: GroupId(spec.id.value)

    /** Estimate of the output tokens still to be generated. The caller's estimate is capped at the item's maximum. */
    fun expectedRemainingTokens(tokensPerEvent: Int): Int {
        val maxTokens = if (spec.maxOutputTokens > 0) spec.maxOutputTokens else Int.MAX_VALUE
        val expected = minOf(spec.expectedOutputTokens ?: (spec.maxOutputTokens / UNKNOWN_LENGTH_DIVISOR), maxTokens)
        val generated = progress.size * tokensPerEvent
        return maxOf(expected - generated, generated / OVERRUN_DIVISOR, tokensPerEvent)
    }

    private companion object {
        /** Without an estimate, a fifth of the maximum is expected: lengths are skewed and few reach the maximum. */
        const val UNKNOWN_LENGTH_DIVISOR = 5

        /** A run past its estimate is expected to generate about another third of its output so far. */
        const val OVERRUN_DIVISOR = 3
    }
}

/** State of one open batch; [revision] is that of its record in the store. Not thread-safe. */
class BatchState(
    val id: BatchId,
    val record: BatchRecord,
    var revision: Long,
) {
    val items: List<ItemState> = record.items.mapIndexed { position, spec -> ItemState(this, spec, position) }
    private val byId = items.associateBy { it.spec.id }
    private val byGroup: Map<GroupId, List<ItemState>> = items.groupBy { it.group }
    private val listed = ArrayList<ItemResult>()

    /** Completes when results are listed or the batch ends; replaced by a new one each time. */
    var updated = CompletableDeferred<Unit>()
        private set
    var ended = false
        private set

    /** Monotonic time at which the write of the next chunk was first sent; null while none is in progress. */
    var appendingSinceMs: Long? = null

    /** True once a reader needs to know that no other coordinator has listed results. */
    var isSealRequested = false

    /** True once items could be sent on current knowledge that the batch is open. */
    var wasStarted = false

    var nextChunk = 0
        private set

    /** Fencing number of the coordinator that wrote the last known chunk; null if there is none. */
    var lastFence: Long? = null
        private set

    /** Listed results, in the order of the store. */
    val results: List<ItemResult> get() = listed

    val isDone: Boolean get() = listed.size == items.size

    fun item(id: ItemId): ItemState? = byId[id]

    fun end() {
        ended = true
        notifyWaiters()
    }

    /** Number of items of [group] without a result. */
    fun openItemsInGroup(group: GroupId): Int = byGroup.getValue(group).count { it.isOpen }

    fun waiting(): List<ItemState> = items.filter { it.phase == ItemPhase.WAITING }

    fun unscored(): List<ItemState> = items.filter { it.phase == ItemPhase.UNSCORED }

    /** Records that the text of [item] is complete: the item is settled, or waits for its score. */
    fun complete(
        item: ItemState,
        nowMs: Long,
    ) {
        if (!item.isOpen) return
        item.textCompleteAtMs = nowMs
        if (item.spec.scorer != null && item.score == null) {
            item.phase = ItemPhase.UNSCORED
        } else {
            settle(item, ItemOutcome.COMPLETED, nowMs)
        }
    }

    /** Records the score of a complete text and settles [item]; the score of another call is ignored. */
    fun recordScore(
        item: ItemState,
        score: Score,
        nowMs: Long,
    ) {
        if (item.phase != ItemPhase.UNSCORED || score.call != item.spec.scorer?.id) return
        item.score = score
        settle(item, ItemOutcome.COMPLETED, nowMs)
    }

    /** Records the result of [item], unless it has one. */
    fun settle(
        item: ItemState,
        outcome: ItemOutcome,
        nowMs: Long,
    ) {
        if (item.phase == ItemPhase.SETTLED || item.phase == ItemPhase.LISTED) return
        item.phase = ItemPhase.SETTLED
        item.settledAtMs = nowMs
        item.result =
            when (outcome) {
                ItemOutcome.COMPLETED ->
                    ItemResult(
                        item = item.spec.id,
                        outcome = outcome,
                        text = item.progress.text(),
                        versions = item.progress.versions(),
                        score = item.score?.receipt,
                    )
                ItemOutcome.GIVEN_UP -> ItemResult(item.spec.id, outcome)
            }
    }

    /** Settled items that are not in the store yet, oldest first. */
    fun unlisted(): List<ItemState> = items.filter { it.phase == ItemPhase.SETTLED }.sortedBy { it.settledAtMs }

    /** Applies the next stored chunk, whichever coordinator wrote it. Items that are listed already are skipped. */
    fun applyChunk(chunk: ResultChunk) {
        nextChunk++
        lastFence = chunk.fence
        chunk.results.forEach { result ->
            val item = byId[result.item]
            if (item == null || item.phase == ItemPhase.LISTED) return@forEach
            item.phase = ItemPhase.LISTED
            item.result = result
            listed += result
        }
        notifyWaiters()
    }

    private fun notifyWaiters() {
        updated.complete(Unit)
        updated = CompletableDeferred()
    }

    fun page(
        after: Int,
        maxBytes: Int,
    ): ResultPage = pageOf(record.itemIds.size, listed, after, maxBytes)
}

/**
 * Page of [results] that starts at position [after] and holds at most [maxBytes] of text, but at least one result if
 * there is any.
 */
fun pageOf(
    total: Int,
    results: List<ItemResult>,
    after: Int,
    maxBytes: Int,
): ResultPage {
    val page = ArrayList<ItemResult>()
    var bytes = 0
    for (result in results.drop(after)) {
        bytes += result.text.length + RESULT_OVERHEAD_BYTES
        if (page.isNotEmpty() && bytes > maxBytes) break
        page += result
    }
    return ResultPage(total, page, next = minOf(after, results.size) + page.size)
}

/** Size of the JSON around the text of one result: ids, field names and quotes. */
private const val RESULT_OVERHEAD_BYTES = 200
