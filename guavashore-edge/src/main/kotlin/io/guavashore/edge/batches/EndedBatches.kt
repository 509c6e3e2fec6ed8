/*
 * Cache of the results of recently ended batches, on the coordinator.
 *
 * Trainers and other readers request ended batches throughout the retention time, each time from another VM. Without
 * the cache each of these reads costs two store calls; with 60 VMs, four in ten of all store calls are such reads.
 */
package io.guavashore.edge.batches

import io.guavashore.api.OrganisationId

/** Holds the most recently ended batches with at most [maxTextChars] of text; evicts the oldest. Not thread-safe. */
class EndedBatches(
    private val maxTextChars: Long = MAX_TEXT_CHARS,
) {
    /** [results] is the live list of the batch: a chunk whose write was in flight at the end is still added to it. */
    private class EndedBatch(
        val organisation: OrganisationId,
        val total: Int,
        val results: List<ItemResult>,
        val keepUntilMs: Long,
        val knowsAllResults: () -> Boolean,
    ) {
        var isEndWritten = false
        val textChars: Long get() = results.sumOf { it.text.length.toLong() }
    }

    private val batches = LinkedHashMap<BatchId, EndedBatch>()

    /**
     * Adds an ended batch; evicts the oldest ones above the maximum size.
     *
     * @param knowsAllResults whether no more results can be in the store than are known here
     */
    fun keep(
        batch: BatchState,
        knowsAllResults: () -> Boolean = { true },
    ) {
        val record = batch.record
        val total = record.itemIds.size
        batches[batch.id] =
            EndedBatch(record.organisation, total, batch.results, record.keepUntilMs, knowsAllResults)
        var chars = batches.values.sumOf { it.textChars }
        while (chars > maxTextChars) {
            val oldest = batches.keys.first()
            chars -= batches.remove(oldest)?.textChars ?: 0
        }
    }

    /** Records that the end of [id] is in the store. */
    fun markEndWritten(id: BatchId) {
        batches[id]?.isEndWritten = true
    }

    /** True if the end of [id] is known to be in the store. */
    fun isEndWritten(id: BatchId): Boolean = batches[id]?.isEndWritten == true

    /** Organisation of [id]; null if the batch is not cached or its retention has expired at [nowMs], Unix time. */
    fun organisationOf(
        id: BatchId,
        nowMs: Long,
    ): OrganisationId? = batches[id]?.takeIf { nowMs <= it.keepUntilMs }?.organisation

    /** True if no more results of [id], which must be cached, can be in the store than are known here. */
    fun knowsAllResults(id: BatchId): Boolean = batches.getValue(id).knowsAllResults()

    /** Page of the results of [id], which must be cached. */
    fun page(
        id: BatchId,
        after: Int,
        maxBytes: Int,
    ): ResultPage = batches.getValue(id).let { pageOf(it.total, it.results, after, maxBytes) }

    private companion object {
        /** At one byte per character, a seventh of the smallest heap that the deploy file configures. */
        const val MAX_TEXT_CHARS = 16_000_000L
    }
}
