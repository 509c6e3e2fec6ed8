/*
 * Results of batches that ended lately, on the coordinator.
 *
 * Load pattern: trainers and their readers come back to ended batches for the whole retention time, each time at
 * another VM. Without this each read costs two calls to the store; in a day of 60 VMs these were four calls in ten.
 */
package io.guavashore.edge.batches

import io.guavashore.api.OrganisationId

/** Copy of the newest ended batches, up to [mostTextChars] of text. Not thread-safe. */
class EndedBatches(
    private val mostTextChars: Long = MOST_TEXT_CHARS,
) {
    /** [results] is the batch's own list, which still takes in a chunk whose write was under way at the end. */
    private class Ended(
        val organisation: OrganisationId,
        val total: Int,
        val results: List<ItemResult>,
        val keepUntilMs: Long,
    ) {
        var isEndWritten = false
        val textChars: Long get() = results.sumOf { it.text.length.toLong() }
    }

    private val batches = LinkedHashMap<BatchId, Ended>()

    fun keep(batch: BatchState) {
        val record = batch.record
        batches[batch.id] = Ended(record.organisation, record.itemIds.size, batch.results, record.keepUntilMs)
        var chars = batches.values.sumOf { it.textChars }
        while (chars > mostTextChars) {
            val oldest = batches.keys.first()
            chars -= batches.remove(oldest)?.textChars ?: 0
        }
    }

    /** Takes note that the end of [id] is in the store. */
    fun markEndWritten(id: BatchId) {
        batches[id]?.isEndWritten = true
    }

    /** True if the end of [id] is known to be in the store. */
    fun isEndWritten(id: BatchId): Boolean = batches[id]?.isEndWritten == true

    /** Organisation of [id], or null if it is not kept here at [nowMs], Unix time. */
    fun organisationOf(
        id: BatchId,
        nowMs: Long,
    ): OrganisationId? = batches[id]?.takeIf { nowMs <= it.keepUntilMs }?.organisation

    /** Page of the results of [id], which must be kept here. */
    fun page(
        id: BatchId,
        after: Int,
        mostBytes: Int,
    ): ResultPage = batches.getValue(id).let { pageOf(it.total, it.results, after, mostBytes) }

    private companion object {
        /** One byte each in memory; a seventh of the smallest heap that the deploy file sets. */
        const val MOST_TEXT_CHARS = 16_000_000L
    }
}
