/*
 * Answers reads of batches from the memory of the coordinator.
 *
 * Listed results keep their position and content, so a page with results is right however old it is. A page without
 * results states that there is nothing at its position, which needs complete knowledge: otherwise the reader's VM asks
 * the store.
 */
package io.guavashore.edge.batches

import io.github.oshai.kotlinlogging.KotlinLogging
import io.guavashore.api.MonotonicClock
import io.guavashore.api.OrganisationId
import io.guavashore.api.WallClock
import io.guavashore.edge.peers.PeerCall
import io.guavashore.edge.peers.PeerReply

private val log = KotlinLogging.logger {}

/** Reads of one term. Not thread-safe. */
class BatchReader(
    private val runner: BatchRunner,
    private val clock: MonotonicClock,
    private val medianTimeMs: WallClock,
) {
    /** Page of results; [PeerReply.NotHere] if only the store can tell. */
    suspend fun read(call: PeerCall.ReadBatch): PeerReply {
        val batch = runner[call.batch] ?: return readEnded(call)
        if (batch.record.organisation != call.organisation) return PeerReply.Unknown
        val startedMs = clock()
        runner.awaitResult(batch, call.after, call.waitMs)
        val waitedMs = clock() - startedMs
        // The batch may have ended during the wait, or a newer coordinator may have taken it over.
        if (runner[call.batch] == null) return readEnded(call, waitedMs)
        val page = PeerReply.Page(batch.page(call.after, BatchGateway.MAX_PAGE_BYTES), waitedMs)
        return reply(call, page, runner.knowsAllResults(batch))
    }

    /** Body of an item that has not been listed; [PeerReply.Unknown] once the end of the batch is in the store. */
    fun readBody(call: PeerCall.ReadBody): PeerReply {
        val batch = runner[call.batch]
        if (batch == null) {
            val isEnded = endedBatchOwner(call.batch) != null && runner.ended.isEndWritten(call.batch)
            return if (isEnded) PeerReply.Unknown else PeerReply.NotHere
        }
        val state = batch.item(call.item)
        if (batch.record.organisation != call.organisation || state == null) return PeerReply.Unknown
        if (state.phase == ItemPhase.LISTED) {
            log.info { "body of a listed item requested: batch=${call.batch} item=${call.item}" }
        }
        return PeerReply.Bytes(BatchGateway.decodeBody(state.spec.bodyBase64))
    }

    /** Organisation of a batch that ended in this term, or null if [id] is not one of those. */
    fun endedBatchOwner(id: BatchId): OrganisationId? = runner.ended.organisationOf(id, medianTimeMs())

    private fun readEnded(
        call: PeerCall.ReadBatch,
        waitedMs: Long = 0,
    ): PeerReply =
        when (endedBatchOwner(call.batch)) {
            null -> PeerReply.NotHere
            call.organisation -> {
                val page = runner.ended.page(call.batch, call.after, BatchGateway.MAX_PAGE_BYTES)
                reply(call, PeerReply.Page(page, waitedMs), runner.ended.knowsAllResults(call.batch))
            }
            else -> PeerReply.Unknown
        }

    private fun reply(
        call: PeerCall.ReadBatch,
        reply: PeerReply.Page,
        knowsAllResults: Boolean,
    ): PeerReply {
        val statesNothing = reply.page.results.isEmpty() && call.after < reply.page.total
        if (!statesNothing || knowsAllResults) return reply
        log.info { "read left to the store, it may have more results: batch=${call.batch} after=${call.after}" }
        return PeerReply.NotHere
    }
}
