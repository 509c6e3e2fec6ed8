/*
 * Accepts batches and serves calls about them, on every VM.
 *
 * A batch is acknowledged once it is in the store. Reads go to the coordinator, which knows results as soon as they are
 * listed; if it can't be reached, reads are served from the store.
 */
package io.guavashore.edge.batches

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import io.github.oshai.kotlinlogging.KotlinLogging
import io.guavashore.api.MonotonicClock
import io.guavashore.api.OrganisationId
import io.guavashore.edge.peers.PeerCall
import io.guavashore.edge.peers.PeerReply
import io.guavashore.platform.StoreCallError
import kotlinx.coroutines.delay

private val log = KotlinLogging.logger {}

/** Reason for refusing a call about a batch. */
enum class BatchRefusal {
    /** The store did not write the batch, so it does not run. The caller should submit it again soon. */
    NOT_ACCEPTED,

    /** It is unknown whether the call took effect, or will: the store may hold the batch, or its end. */
    UNCERTAIN,

    /** The id is in use for a batch with other content or of another organisation. */
    CONTENT_DIFFERS,

    /** The organisation has no such batch or item. */
    UNKNOWN,

    /** Neither the coordinator nor the store can be reached; the call has had no effect and will have none. */
    CANNOT_TELL,
}

/**
 * Calls the coordinator. Null if it did not reply, so that it may have handled the call; [PeerReply.NotHere] if it has
 * not handled it, or if there is no coordinator to call.
 */
typealias CallCoordinator = suspend (call: PeerCall, timeoutMs: Long) -> PeerReply?

/** Entry point of one VM for calls about batches. */
class BatchGateway(
    private val store: BatchStore,
    private val callCoordinator: CallCoordinator,
    private val clock: MonotonicClock,
) {
    /** Immutable properties of a batch, cached to save reads of the store; [total] is its number of items. */
    private data class BatchSummary(
        val organisation: OrganisationId,
        val total: Int,
    )

    private val summaries = LinkedHashMap<BatchId, BatchSummary>()

    /** Stores the batch; retries until [deadlineMs], monotonic time. Submitting the same batch again succeeds. */
    suspend fun submit(
        id: BatchId,
        record: BatchRecord,
        deadlineMs: Long,
    ): Result<Unit, BatchRefusal> {
        val content = store.encode(record)
        var uncertain = false
        while (true) {
            val outcome = store.create(id, content, CREATE_TIMEOUT_MS)
            if (outcome.isOk) return onCreated(id, record, content, outcome.value.revision)
            when (val fault = outcome.error) {
                is StoreCallError.Conflict -> return onConflict(id, record, fault)
                is StoreCallError.NotDone -> if (!uncertain) return refuse(id, fault, BatchRefusal.NOT_ACCEPTED)
                is StoreCallError.Unknown, StoreCallError.HistoryGone, StoreCallError.WatchEnded -> uncertain = true
            }
            if (clock() >= deadlineMs) return refuse(id, outcome.error, BatchRefusal.UNCERTAIN)
            delay(CREATE_RETRY_DELAY_MS)
        }
    }

    /** Returns results from position [after] on; the coordinator waits up to [waitMs] for one. */
    suspend fun read(
        id: BatchId,
        organisation: OrganisationId,
        after: Int,
        waitMs: Long,
    ): Result<ResultPage, BatchRefusal> {
        val call = PeerCall.ReadBatch(id, organisation, after, waitMs)
        val sentAtMs = clock()
        when (val reply = callCoordinator(call, waitMs + COORDINATOR_TIMEOUT_MS)) {
            is PeerReply.Page -> {
                // A page keeps what it has, but a late one may lack results that others have been shown meanwhile.
                val maxAgeMs = clock() - sentAtMs - reply.waitedMs
                if (reply.page.results.isNotEmpty() || maxAgeMs <= COORDINATOR_TIMEOUT_MS) return Ok(reply.page)
                log.info { "late page without results, asking the store: batch=$id after=$after max_age_ms=$maxAgeMs" }
            }
            PeerReply.Unknown -> return Err(BatchRefusal.UNKNOWN)
            else -> Unit
        }
        return readFromStore(id, organisation, after)
    }

    /** Returns the request body of an item; fails with [BatchRefusal.UNKNOWN] once the batch has ended. */
    suspend fun body(
        id: BatchId,
        organisation: OrganisationId,
        item: ItemId,
    ): Result<ByteArray, BatchRefusal> {
        when (val reply = callCoordinator(PeerCall.ReadBody(id, organisation, item), COORDINATOR_TIMEOUT_MS)) {
            is PeerReply.Bytes -> return Ok(reply.bytes)
            PeerReply.Unknown -> return Err(BatchRefusal.UNKNOWN)
            else -> Unit
        }
        val found = store.read(id)
        if (found.isErr) return Err(BatchRefusal.CANNOT_TELL)
        val record = found.value?.record?.takeIf { it.organisation == organisation }
        val spec = record?.items?.firstOrNull { it.id == item } ?: return Err(BatchRefusal.UNKNOWN)
        return Ok(decodeBody(spec.bodyBase64))
    }

    /**
     * Ends the batch. On success the end is in the store. Fails with [BatchRefusal.CANNOT_TELL] only if neither the
     * coordinator nor the store has begun to end it.
     */
    suspend fun end(
        id: BatchId,
        organisation: OrganisationId,
    ): Result<Unit, BatchRefusal> {
        val reply = callCoordinator(PeerCall.EndBatch(id, organisation), END_TIMEOUT_MS)
        if (reply == PeerReply.Done) return Ok(Unit)
        if (reply == PeerReply.Unknown) return Err(BatchRefusal.UNKNOWN)
        // Without a reply, or after a fault of its store, the coordinator may have begun to end the batch.
        val refusal = if (reply == PeerReply.NotHere) BatchRefusal.CANNOT_TELL else BatchRefusal.UNCERTAIN
        val found = store.read(id)
        if (found.isErr) return Err(refusal)
        val batch = found.value?.takeIf { it.record.organisation == organisation } ?: return Err(BatchRefusal.UNKNOWN)
        val ended = store.end(id, batch, END_TIMEOUT_MS)
        val fault = if (ended.isErr) ended.error else null
        log.info { "batch end written without coordinator: batch=$id ok=${ended.isOk} store_fault=${fault?.message}" }
        return when (fault) {
            null -> Ok(Unit)
            is StoreCallError.NotDone -> Err(refusal)
            else -> Err(BatchRefusal.UNCERTAIN)
        }
    }

    private suspend fun onCreated(
        id: BatchId,
        record: BatchRecord,
        content: String,
        revision: Long,
    ): Result<Unit, BatchRefusal> {
        cacheSummary(id, record)
        log.info { "batch accepted: batch=$id step=${record.step} items=${record.items.size} revision=$revision" }
        callCoordinator(PeerCall.BatchAccepted(id, revision, content), COORDINATOR_TIMEOUT_MS)
        return Ok(Unit)
    }

    private suspend fun onConflict(
        id: BatchId,
        record: BatchRecord,
        fault: StoreCallError.Conflict,
    ): Result<Unit, BatchRefusal> {
        val present = (fault.current?.let(store::decode) ?: store.read(id).get())?.record
        if (present == null) return refuse(id, fault, BatchRefusal.UNCERTAIN)
        val same = present.digest == record.digest && present.organisation == record.organisation
        log.info { "batch submitted again: batch=$id same=$same" }
        return if (same) Ok(Unit) else Err(BatchRefusal.CONTENT_DIFFERS)
    }

    private fun refuse(
        id: BatchId,
        fault: StoreCallError,
        refusal: BatchRefusal,
    ): Result<Unit, BatchRefusal> {
        log.warn { "batch not accepted: batch=$id outcome=$refusal store_fault=${fault.message}" }
        return Err(refusal)
    }

    private suspend fun readFromStore(
        id: BatchId,
        organisation: OrganisationId,
        after: Int,
    ): Result<ResultPage, BatchRefusal> {
        val summary = summaries[id] ?: readSummary(id).let { if (it.isErr) return Err(it.error) else it.value }
        if (summary.organisation != organisation) return Err(BatchRefusal.UNKNOWN)
        val chunks = store.results(id)
        if (chunks.isErr) return Err(BatchRefusal.CANNOT_TELL)
        return Ok(pageOf(summary.total, chunks.value.flatMap { it.results }, after, MAX_PAGE_BYTES))
    }

    private suspend fun readSummary(id: BatchId): Result<BatchSummary, BatchRefusal> {
        val found = store.read(id)
        if (found.isErr) return Err(BatchRefusal.CANNOT_TELL)
        val record = found.value?.record ?: return Err(BatchRefusal.UNKNOWN)
        return Ok(cacheSummary(id, record))
    }

    private fun cacheSummary(
        id: BatchId,
        record: BatchRecord,
    ): BatchSummary {
        val summary = BatchSummary(record.organisation, record.itemIds.size)
        summaries[id] = summary
        if (summaries.size > MAX_CACHED_SUMMARIES) summaries.remove(summaries.keys.first())
        return summary
    }

    companion object {
        /** Maximum size of the texts in a page. A page may have 1 MB, and JSON escapes enlarge the texts. */
        const val MAX_PAGE_BYTES = 700_000
        private const val CREATE_TIMEOUT_MS = 1_200L
        private const val CREATE_RETRY_DELAY_MS = 50L
        private const val COORDINATOR_TIMEOUT_MS = 700L
        private const val END_TIMEOUT_MS = 1_500L
        private const val MAX_CACHED_SUMMARIES = 2_000

        /** Decodes a submitted body; fails with [IllegalArgumentException] if [base64] is not valid Base64. */
        fun decodeBody(base64: String): ByteArray =
            java.util.Base64
                .getDecoder()
                .decode(base64)
    }
}
