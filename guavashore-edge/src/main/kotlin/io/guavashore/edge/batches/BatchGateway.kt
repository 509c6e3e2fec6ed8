/*
 * Takes batches in and answers for them, on every VM.
 *
 * A batch is acknowledged once the store holds it. Reads go to the coordinator, which knows results the moment that
 * they are listed; without it, they are answered from the store.
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
import io.guavashore.platform.StoreFault
import kotlinx.coroutines.delay

private val log = KotlinLogging.logger {}

/** Why a call about a batch can't be answered as asked. */
enum class BatchRefusal {
    /** The store did nothing: the batch does not run; come back soon. */
    NOT_ACCEPTED,

    /** The store did not say whether it holds the batch. */
    UNCERTAIN,

    /** The same id was submitted with other content, or by another organisation. */
    CONTENT_DIFFERS,

    /** There is no such batch or item for this organisation. */
    UNKNOWN,

    /** Neither the coordinator nor the store can be asked now. */
    CANNOT_TELL,
}

/** Calls whoever runs the batches; null if nobody is known to. */
typealias AskCoordinator = suspend (call: PeerCall, timeoutMs: Long) -> PeerReply?

/** Desk of one VM. */
class BatchGateway(
    private val store: BatchStore,
    private val askCoordinator: AskCoordinator,
    private val clock: MonotonicClock,
) {
    /** What never changes of a batch; spares reads of the store. */
    private data class Known(
        val organisation: OrganisationId,
        val total: Int,
    )

    private val known = LinkedHashMap<BatchId, Known>()

    /** Accepts a batch by [deadlineMs], on the monotonic clock. */
    suspend fun submit(
        id: BatchId,
        record: BatchRecord,
        deadlineMs: Long,
    ): Result<Unit, BatchRefusal> {
        val content = store.encode(record)
        var uncertain = false
        while (true) {
            val outcome = store.create(id, content, CREATE_TIMEOUT_MS)
            if (outcome.isOk) return accepted(id, record, content, outcome.value.revision)
            when (val fault = outcome.error) {
                is StoreFault.Conflict -> return repeated(id, record, fault)
                is StoreFault.NotDone -> if (!uncertain) return refused(id, fault, BatchRefusal.NOT_ACCEPTED)
                is StoreFault.Unknown, StoreFault.HistoryGone, StoreFault.WatchEnded -> uncertain = true
            }
            if (clock() >= deadlineMs) return refused(id, outcome.error, BatchRefusal.UNCERTAIN)
            delay(CREATE_PAUSE_MS)
        }
    }

    /** Results from position [after] on. */
    suspend fun read(
        id: BatchId,
        organisation: OrganisationId,
        after: Int,
        waitMs: Long,
    ): Result<ResultPage, BatchRefusal> {
        val call = PeerCall.ReadBatch(id, organisation, after, waitMs)
        when (val reply = askCoordinator(call, waitMs + CALL_TIMEOUT_MS)) {
            is PeerReply.Page -> return Ok(reply.page)
            PeerReply.Unknown -> return Err(BatchRefusal.UNKNOWN)
            else -> Unit
        }
        return readFromStore(id, organisation, after)
    }

    /** Body of an item that is not listed yet. */
    suspend fun body(
        id: BatchId,
        organisation: OrganisationId,
        item: ItemId,
    ): Result<ByteArray, BatchRefusal> {
        when (val reply = askCoordinator(PeerCall.ReadBody(id, organisation, item), CALL_TIMEOUT_MS)) {
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

    /** Ends the batch; once this returns, the store holds its end. */
    suspend fun end(
        id: BatchId,
        organisation: OrganisationId,
    ): Result<Unit, BatchRefusal> {
        when (askCoordinator(PeerCall.EndBatch(id, organisation), END_TIMEOUT_MS)) {
            PeerReply.Done -> return Ok(Unit)
            PeerReply.Unknown -> return Err(BatchRefusal.UNKNOWN)
            else -> Unit
        }
        val found = store.read(id)
        if (found.isErr) return Err(BatchRefusal.CANNOT_TELL)
        val batch = found.value?.takeIf { it.record.organisation == organisation } ?: return Err(BatchRefusal.UNKNOWN)
        val ended = store.end(id, batch, END_TIMEOUT_MS)
        log.info { "batch end written without coordinator: batch=$id ok=${ended.isOk}" }
        return if (ended.isOk) Ok(Unit) else Err(BatchRefusal.CANNOT_TELL)
    }

    private suspend fun accepted(
        id: BatchId,
        record: BatchRecord,
        content: String,
        revision: Long,
    ): Result<Unit, BatchRefusal> {
        remember(id, record)
        log.info { "batch accepted: batch=$id step=${record.step} items=${record.items.size} revision=$revision" }
        askCoordinator(PeerCall.BatchAccepted(id, revision, content), CALL_TIMEOUT_MS)
        return Ok(Unit)
    }

    private suspend fun repeated(
        id: BatchId,
        record: BatchRecord,
        fault: StoreFault.Conflict,
    ): Result<Unit, BatchRefusal> {
        val present = (fault.current?.let(store::decode) ?: store.read(id).get())?.record
        if (present == null) return refused(id, fault, BatchRefusal.UNCERTAIN)
        val same = present.digest == record.digest && present.organisation == record.organisation
        log.info { "batch submitted again: batch=$id same=$same" }
        return if (same) Ok(Unit) else Err(BatchRefusal.CONTENT_DIFFERS)
    }

    private fun refused(
        id: BatchId,
        fault: StoreFault,
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
        val head = known[id] ?: readHead(id).let { if (it.isErr) return Err(it.error) else it.value }
        if (head.organisation != organisation) return Err(BatchRefusal.UNKNOWN)
        val chunks = store.results(id)
        if (chunks.isErr) return Err(BatchRefusal.CANNOT_TELL)
        return Ok(pageOf(head.total, chunks.value.flatMap { it.results }, after, MAX_PAGE_BYTES))
    }

    private suspend fun readHead(id: BatchId): Result<Known, BatchRefusal> {
        val found = store.read(id)
        if (found.isErr) return Err(BatchRefusal.CANNOT_TELL)
        val record = found.value?.record ?: return Err(BatchRefusal.UNKNOWN)
        return Ok(remember(id, record))
    }

    private fun remember(
        id: BatchId,
        record: BatchRecord,
    ): Known {
        val head = Known(record.organisation, record.itemIds.size)
        known[id] = head
        if (known.size > MOST_KNOWN) known.remove(known.keys.first())
        return head
    }

    companion object {
        /** A page of results is 1 MB at most; escapes take their part. */
        const val MAX_PAGE_BYTES = 700_000
        private const val CREATE_TIMEOUT_MS = 1_200L
        private const val CREATE_PAUSE_MS = 50L
        private const val CALL_TIMEOUT_MS = 700L
        private const val END_TIMEOUT_MS = 1_500L
        private const val MOST_KNOWN = 2_000

        /** Bytes of a body as it was submitted; fails with [IllegalArgumentException] if [base64] is none. */
        fun decodeBody(base64: String): ByteArray =
            java.util.Base64
                .getDecoder()
                .decode(base64)
    }
}
