/*
 * Decides when settled results are written to the store.
 *
 * Tens of items settle per second, one by one, but a trainer uses only complete groups and each write to the store has
 * a cost. When a group is complete, all settled results are written at once. Results of incomplete groups are held
 * back for a short time only, which limits the work that a failover loses.
 */
package io.guavashore.edge.batches

/** Items of [batch] whose results should be written now, as one chunk; empty if the results should be held back. */
fun resultsToCommit(
    batch: BatchState,
    nowMs: Long,
    config: CommitConfig = CommitConfig(),
): List<ItemState> {
    val unlisted = batch.unlisted()
    if (unlisted.isEmpty()) return emptyList()
    val hasCompleteGroup = unlisted.any { batch.openItemsInGroup(it.group) == 0 }
    val isHoldExceeded = nowMs - unlisted.first().settledAtMs >= config.maxHoldMs
    if (!hasCompleteGroup && !isHoldExceeded) return emptyList()
    var bytes = 0
    return unlisted.takeWhile { item ->
        bytes += item.result?.text?.length ?: 0
        item === unlisted.first() || bytes <= config.maxChunkBytes
    }
}

data class CommitConfig(
    /** Maximum age of a settled result before it is written; a failover repeats at most this much work. */
    val maxHoldMs: Long = 1_500,
    /** Maximum size of a chunk's texts; a value in the store may have 1 MiB, and JSON escapes enlarge the texts. */
    val maxChunkBytes: Int = 600_000,
)
