/*
 * Persistence of batches and their results in the platform's store.
 *
 * A batch is one entry, written by a create-only call before its submission is acknowledged. Its results are a sequence
 * of chunks in a separate collection, also written by create-only calls. The store thus fixes the positions and the
 * contents of the results, whichever coordinator runs the batch: if two runners write the same chunk, the second write
 * fails and that runner adopts the stored chunk.
 */
package io.guavashore.edge.batches

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import io.github.oshai.kotlinlogging.KotlinLogging
import io.guavashore.api.MonotonicClock
import io.guavashore.edge.peers.StoreCallAttempts
import io.guavashore.platform.CallStore
import io.guavashore.platform.CollectionName
import io.guavashore.platform.StoreCall
import io.guavashore.platform.StoreCallError
import io.guavashore.platform.StoreResponse
import io.guavashore.platform.StoredEntry
import kotlinx.coroutines.delay
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

private val log = KotlinLogging.logger {}

val BATCHES = CollectionName("batches")

/** A batch as read from the store; [revision] is that of its entry. */
class StoredBatch(
    val id: BatchId,
    val record: BatchRecord,
    val revision: Long,
)

/** Reads and writes batches and result chunks. Faults of the store are returned, unless a function says otherwise. */
class BatchStore(
    private val call: CallStore,
    private val clock: MonotonicClock,
) {
    /** Creates the batch. Fails with [StoreCallError.Conflict], which may carry the present entry, if the id exists. */
    suspend fun create(
        id: BatchId,
        content: String,
        timeoutMs: Long,
    ): Result<StoredEntry, StoreCallError> =
        call(StoreCall.Create(BATCHES, id.value, content), timeoutMs).map { (it as StoreResponse.Entry).entry!! }

    /** Returns the batch; null if there is none or its content is unreadable. */
    suspend fun read(id: BatchId): Result<StoredBatch?, StoreCallError> =
        call(
            StoreCall.Read(BATCHES, id.value),
            READ_TIMEOUT_MS,
        ).map { (it as StoreResponse.Entry).entry?.let(::decode) }

    suspend fun list(): Result<StoreResponse.Listing, StoreCallError> =
        call(StoreCall.ListAll(BATCHES), LIST_TIMEOUT_MS).map { it as StoreResponse.Listing }

    /** Returns all result chunks of the batch, in order. */
    suspend fun results(id: BatchId): Result<List<ResultChunk>, StoreCallError> =
        call(StoreCall.ListAll(resultsCollection(id)), LIST_TIMEOUT_MS).map { response ->
            (response as StoreResponse.Listing).entries.sortedBy { it.name }.map(::decodeChunk)
        }

    /**
     * Writes [chunk] as number [number]. Returns the stored chunk of that number, which may be one of another writer.
     * Retries until the store has confirmed one or the other.
     */
    suspend fun append(
        id: BatchId,
        number: Int,
        chunk: ResultChunk,
    ): ResultChunk {
        val content = json.encodeToString(chunk)
        var delayMs = INITIAL_RETRY_DELAY_MS
        while (true) {
            val outcome = call(StoreCall.Create(resultsCollection(id), chunkName(number), content), WRITE_TIMEOUT_MS)
            if (outcome.isOk) return chunk
            val fault = outcome.error
            if (fault is StoreCallError.Conflict) readChunk(id, number, fault)?.let { return it }
            log.warn { "results not written, trying again: batch=$id chunk=$number fault=${fault.message}" }
            delay(delayMs)
            delayMs = minOf(delayMs * 2, MAX_RETRY_DELAY_MS)
        }
    }

    /**
     * Fences off coordinators with a lower number than [fence] by an empty chunk after the [known] ones, so that they
     * can't list further results. Returns all chunks up to that one, or up to the chunk of a later coordinator.
     */
    suspend fun seal(
        id: BatchId,
        known: List<ResultChunk>,
        fence: Long,
    ): List<ResultChunk> {
        val chunks = known.toMutableList()
        while ((chunks.lastOrNull()?.fence ?: -1) < fence) {
            chunks += append(id, chunks.size, ResultChunk(emptyList(), fence))
        }
        return chunks
    }

    /**
     * Marks the batch as ended; tries for about [timeoutMs]. Returns false if there is no such batch. The error is that
     * of all writes together: [StoreCallError.NotDone] only if the store refused each of them.
     *
     * @param known the batch as last read
     */
    suspend fun end(
        id: BatchId,
        known: StoredBatch,
        timeoutMs: Long,
    ): Result<Boolean, StoreCallError> {
        val deadlineMs = clock() + timeoutMs
        val writes = StoreCallAttempts()
        var batch = known
        while (!batch.record.ended) {
            val content = encode(batch.record.asEnded())
            val replace = StoreCall.Replace(BATCHES, id.value, content, batch.revision)
            val outcome = writes.add(call(replace, WRITE_TIMEOUT_MS))
            if (outcome.isOk) return Ok(true)
            if (clock() >= deadlineMs) return Err(outcome.error)
            delay(INITIAL_RETRY_DELAY_MS)
            val found = read(id)
            if (found.isErr) return Err(outcome.error)
            batch = found.value ?: return Ok(false)
        }
        return Ok(true)
    }

    /** Removes a batch and its results. Entries whose removal fails are left for the next call. */
    suspend fun remove(id: BatchId) {
        val chunks = call(StoreCall.ListAll(resultsCollection(id)), LIST_TIMEOUT_MS)
        if (chunks.isErr) return
        (chunks.value as StoreResponse.Listing).entries.forEach { entry ->
            call(StoreCall.Delete(resultsCollection(id), entry.name), WRITE_TIMEOUT_MS)
        }
        val removed = call(StoreCall.Delete(BATCHES, id.value), WRITE_TIMEOUT_MS)
        log.info { "expired batch removed: batch=$id ok=${removed.isOk}" }
    }

    fun encode(record: BatchRecord): String = json.encodeToString(record)

    /** Decodes a stored batch; logs an error and returns null if the content is invalid. */
    fun decode(entry: StoredEntry): StoredBatch? =
        try {
            StoredBatch(BatchId(entry.name), json.decodeFromString(entry.content), entry.revision)
        } catch (e: SerializationException) {
            log.error { "stored batch unreadable: batch=${entry.name} revision=${entry.revision} cause=${e.message}" }
            null
        }

    private suspend fun readChunk(
        id: BatchId,
        number: Int,
        fault: StoreCallError.Conflict,
    ): ResultChunk? {
        fault.current?.let { return decodeChunk(it) }
        val outcome = call(StoreCall.Read(resultsCollection(id), chunkName(number)), READ_TIMEOUT_MS)
        if (outcome.isErr) return null
        return (outcome.value as StoreResponse.Entry).entry?.let(::decodeChunk)
    }

    /** Decodes a chunk. An unreadable one, written by another writer, counts as empty: its number stays in use. */
    private fun decodeChunk(entry: StoredEntry): ResultChunk =
        try {
            json.decodeFromString(entry.content)
        } catch (e: SerializationException) {
            log.error { "results unreadable: chunk=${entry.name} revision=${entry.revision} cause=${e.message}" }
            ResultChunk(emptyList())
        }

    companion object {
        private val json = Json { ignoreUnknownKeys = true }

        /** The store responds within a few milliseconds, and within 0.5 s when its operators slow it down. */
        private const val READ_TIMEOUT_MS = 1_000L
        private const val WRITE_TIMEOUT_MS = 1_000L
        private const val LIST_TIMEOUT_MS = 2_000L
        private const val INITIAL_RETRY_DELAY_MS = 50L
        private const val MAX_RETRY_DELAY_MS = 800L
        private const val CHUNK_DIGITS = 6

        private fun resultsCollection(id: BatchId) = CollectionName("results-$id")

        /** Padded with zeros, so that names sort like numbers. */
        private fun chunkName(number: Int) = number.toString().padStart(CHUNK_DIGITS, '0')
    }
}
