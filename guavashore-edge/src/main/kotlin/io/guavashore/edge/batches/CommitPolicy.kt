/*
 * When settled results are written to the store.
 *
 * Load pattern: tens of items a second settle one by one, while a trainer counts whole groups only and each write to
 * the store has a price. A group that becomes whole is written at once, with all that is settled by then; what
 * belongs to open groups waits a little, so that a failover loses little work.
 */
package io.guavashore.edge.batches

/** Results of [batch] to write now, or none. */
fun resultsToCommit(
    batch: BatchState,
    nowMs: Long,
    terms: CommitTerms = CommitTerms(),
): List<ItemState> {
    val unlisted = batch.unlisted()
    if (unlisted.isEmpty()) return emptyList()
    val wholeGroup = unlisted.any { batch.openInGroup(it.group) == 0 }
    val heldTooLong = nowMs - unlisted.first().settledAtMs >= terms.longestHoldMs
    if (!wholeGroup && !heldTooLong) return emptyList()
    var bytes = 0
    return unlisted.takeWhile { item ->
        bytes += item.result?.text?.length ?: 0
        item === unlisted.first() || bytes <= terms.mostChunkBytes
    }
}

/** Terms of the policy. */
data class CommitTerms(
    /** Settled results of open groups are written when the oldest is this old; a failover repeats that much work. */
    val longestHoldMs: Long = 1_500,
    /** Most bytes of text in one chunk; a value of the store holds 1 MiB, and JSON escapes add to the text. */
    val mostChunkBytes: Int = 600_000,
)
