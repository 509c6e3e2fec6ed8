/*
 * State of an open batch on the VM that runs it. No I/O: runs and writes report here what came of them.
 */
package io.guavashore.edge.batches

import io.guavashore.api.GroupId
import io.guavashore.api.TargetId
import kotlinx.coroutines.CompletableDeferred

/** Where an item stands. */
enum class ItemPhase {
    /** No engine has it, and it needs one. */
    WAITING,

    /** An engine has it. */
    RUNNING,

    /** Its text is whole, and its score is not known yet. */
    UNSCORED,

    /** Its result is known and not in the store yet. */
    SETTLED,

    /** Its result is in the store. */
    LISTED,
}

/** One item of an open batch. */
class ItemState(
    val batch: BatchState,
    val spec: ItemSpec,
    val position: Int,
) {
    val progress = ItemProgress(batch.record.minVersion, batch.record.singleVersion)
    var phase = ItemPhase.WAITING
        internal set
    var result: ItemResult? = null
        internal set
    var settledAtMs = 0L
        internal set

    var score: Score? = null
        internal set

    /** When the text became whole, on the monotonic clock; meaningful once it is. */
    var wholeAtMs = 0L
        internal set

    /** True while the item needs an engine or has one. */
    val needsEngine: Boolean get() = phase == ItemPhase.WAITING || phase == ItemPhase.RUNNING

    /** True while the item has no result. */
    val isOpen: Boolean get() = needsEngine || phase == ItemPhase.UNSCORED

    /** True if the text is the item's whole output. */
    val isWhole: Boolean
        get() = progress.size > 0 && (phase == ItemPhase.UNSCORED || result?.outcome == ItemOutcome.COMPLETED)

    /** Runs that the engine ended with a failure. */
    var failures = 0
        internal set

    /** Score calls that were answered with a failure. */
    var scoreFailures = 0
        internal set

    /** The item is not sent to these again while others can take it. */
    val avoid = HashSet<TargetId>()

    /** Engines that went down while they ran it. */
    val crashed = HashSet<TargetId>()

    /** Not sent before this moment, on the monotonic clock. */
    var notBeforeMs = 0L

    val group: GroupId get() = spec.group ?: GroupId(spec.id.value)

    /** Output tokens that are still to come, by the caller's estimate, which may lie above the item's own bound. */
    fun expectedTokensLeft(tokensPerEvent: Int): Int {
        val bound = if (spec.maxOutputTokens > 0) spec.maxOutputTokens else Int.MAX_VALUE
        val expected = minOf(spec.expectedOutputTokens ?: (spec.maxOutputTokens / UNKNOWN_LENGTH_SHARE), bound)
        val done = progress.size * tokensPerEvent
        return maxOf(expected - done, done / OVERDUE_SHARE, tokensPerEvent)
    }

    private companion object {
        /** Without an estimate, a fifth of the bound: lengths are skewed, and the bound is a far tail. */
        const val UNKNOWN_LENGTH_SHARE = 5

        /** A run that has passed its estimate goes on for about a third of what it has made. */
        const val OVERDUE_SHARE = 3
    }
}

/** One open batch. Not thread-safe. */
class BatchState(
    val id: BatchId,
    val record: BatchRecord,
    var revision: Long,
) {
    val items: List<ItemState> = record.items.mapIndexed { position, spec -> ItemState(this, spec, position) }
    private val byId = items.associateBy { it.spec.id }
    private val byGroup: Map<GroupId, List<ItemState>> = items.groupBy { it.group }
    private val listed = ArrayList<ItemResult>()

    /** Completes when more results have been listed or the batch has ended; replaced then. */
    var listedMore = CompletableDeferred<Unit>()
        private set
    var ended = false
        private set
    var nextChunk = 0
        private set

    /** Fencing number of the coordinator whose chunk is the last one known; null before the first. */
    var lastFence: Long? = null
        private set

    /** Results that readers may see; their positions are fixed by the store. */
    val results: List<ItemResult> get() = listed

    val isDone: Boolean get() = listed.size == items.size

    fun item(id: ItemId): ItemState? = byId[id]

    fun end() {
        ended = true
        signal()
    }

    /** Items of [group] that have no result yet. */
    fun openInGroup(group: GroupId): Int = byGroup.getValue(group).count { it.isOpen }

    /** Items that no engine has now and that need one. */
    fun waiting(): List<ItemState> = items.filter { it.phase == ItemPhase.WAITING }

    /** Items whose text is whole and whose score is not known. */
    fun unscored(): List<ItemState> = items.filter { it.phase == ItemPhase.UNSCORED }

    /** The text of [item] is whole: it is a result, or waits for its score. */
    fun complete(
        item: ItemState,
        nowMs: Long,
    ) {
        if (!item.isOpen) return
        item.wholeAtMs = nowMs
        if (item.spec.scorer != null && item.score == null) {
            item.phase = ItemPhase.UNSCORED
        } else {
            settle(item, ItemOutcome.COMPLETED, nowMs)
        }
    }

    /** [score] is that of the whole text of [item]. */
    fun scored(
        item: ItemState,
        score: Score,
        nowMs: Long,
    ) {
        if (item.phase != ItemPhase.UNSCORED || score.call != item.spec.scorer?.id) return
        item.score = score
        settle(item, ItemOutcome.COMPLETED, nowMs)
    }

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

    /** Results that wait to be written, oldest first. */
    fun unlisted(): List<ItemState> = items.filter { it.phase == ItemPhase.SETTLED }.sortedBy { it.settledAtMs }

    /** Takes in a chunk that is in the store, whoever wrote it. */
    fun list(chunk: ResultChunk) {
        nextChunk++
        lastFence = chunk.fence
        chunk.results.forEach { result ->
            val item = byId[result.item]
            if (item == null || item.phase == ItemPhase.LISTED) return@forEach
            item.phase = ItemPhase.LISTED
            item.result = result
            listed += result
        }
        signal()
    }

    private fun signal() {
        listedMore.complete(Unit)
        listedMore = CompletableDeferred()
    }

    fun page(
        after: Int,
        mostBytes: Int,
    ): ResultPage = pageOf(record.itemIds.size, listed, after, mostBytes)
}

/** Cuts a page of at most [mostBytes] of text, but of one result at least, out of all [results]. */
fun pageOf(
    total: Int,
    results: List<ItemResult>,
    after: Int,
    mostBytes: Int,
): ResultPage {
    val page = ArrayList<ItemResult>()
    var bytes = 0
    for (result in results.drop(after)) {
        bytes += result.text.length + RESULT_OVERHEAD_BYTES
        if (page.isNotEmpty() && bytes > mostBytes) break
        page += result
    }
    return ResultPage(total, page, next = minOf(after, results.size) + page.size)
}

/** Ids, names and quotes around one result's text. */
private const val RESULT_OVERHEAD_BYTES = 200
