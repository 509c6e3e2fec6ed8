/*
 * Batches and their results in the platform's store.
 *
 * A batch is one object made by a create-only call before its submission is acknowledged. Its results are a sequence of
 * chunks in a collection of their own, each made by a create-only call too. So positions and contents are fixed by the
 * store, whoever runs the batch: of two runners that write the same chunk one is refused and takes over the other's.
 */
package io.guavashore.edge.batches

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import io.github.oshai.kotlinlogging.KotlinLogging
import io.guavashore.api.MonotonicClock
import io.guavashore.platform.CallStore
import io.guavashore.platform.Collection
import io.guavashore.platform.StoreAnswer
import io.guavashore.platform.StoreCall
import io.guavashore.platform.StoreFault
import io.guavashore.platform.StoredEntry
import kotlinx.coroutines.delay
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

private val log = KotlinLogging.logger {}

/** Collection of all batches. */
val BATCHES = Collection("batches")

/** A batch in the store. */
class StoredBatch(
    val id: BatchId,
    val record: BatchRecord,
    val revision: Long,
)

/** Reads and writes batches. */
class BatchStore(
    private val call: CallStore,
    private val clock: MonotonicClock,
) {
    /** Makes the batch; a fault of kind Conflict carries the batch that exists. */
    suspend fun create(
        id: BatchId,
        content: String,
        timeoutMs: Long,
    ): Result<StoredEntry, StoreFault> =
        call(StoreCall.Create(BATCHES, id.value, content), timeoutMs).map { (it as StoreAnswer.Entry).entry!! }

    /** The batch, or null if there is none. */
    suspend fun read(id: BatchId): Result<StoredBatch?, StoreFault> =
        call(StoreCall.Read(BATCHES, id.value), READ_TIMEOUT_MS).map { (it as StoreAnswer.Entry).entry?.let(::decode) }

    /** All batches. */
    suspend fun list(): Result<StoreAnswer.Listing, StoreFault> =
        call(StoreCall.ListAll(BATCHES), LIST_TIMEOUT_MS).map { it as StoreAnswer.Listing }

    /** Chunks of results in order. */
    suspend fun results(id: BatchId): Result<List<ResultChunk>, StoreFault> =
        call(StoreCall.ListAll(resultsOf(id)), LIST_TIMEOUT_MS).map { answer ->
            (answer as StoreAnswer.Listing).entries.sortedBy { it.name }.map(::decodeChunk)
        }

    /**
     * Writes [chunk] as number [number]; returns the chunk that stands there, which may be another writer's. Does not
     * return before the store has said which.
     */
    suspend fun append(
        id: BatchId,
        number: Int,
        chunk: ResultChunk,
    ): ResultChunk {
        val content = json.encodeToString(chunk)
        var pauseMs = FIRST_PAUSE_MS
        while (true) {
            val outcome = call(StoreCall.Create(resultsOf(id), chunkName(number), content), WRITE_TIMEOUT_MS)
            if (outcome.isOk) return chunk
            val fault = outcome.error
            if (fault is StoreFault.Conflict) readChunk(id, number, fault)?.let { return it }
            log.warn { "results not written yet: batch=$id chunk=$number fault=${fault.message}" }
            delay(pauseMs)
            pauseMs = minOf(pauseMs * 2, LONGEST_PAUSE_MS)
        }
    }

    /**
     * Ends what coordinators with a lower number than [fence] may still list, by an empty chunk behind [known] ones;
     * returns all chunks up to that one, or up to one of a later coordinator.
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

    /** Marks the batch as ended. Returns false if there is no such batch. */
    suspend fun end(
        id: BatchId,
        known: StoredBatch?,
        timeoutMs: Long,
    ): Result<Boolean, StoreFault> {
        val deadlineMs = clock() + timeoutMs
        var batch = known
        while (true) {
            val current = batch ?: read(id).let { if (it.isErr) return Err(it.error) else it.value } ?: return Ok(false)
            if (current.record.ended) return Ok(true)
            val content = encode(current.record.atItsEnd())
            val replace = StoreCall.Replace(BATCHES, id.value, content, current.revision)
            val outcome = call(replace, WRITE_TIMEOUT_MS)
            if (outcome.isOk) return Ok(true)
            if (clock() >= deadlineMs) return Err(outcome.error)
            batch = null
            delay(FIRST_PAUSE_MS)
        }
    }

    /** Removes a batch and its results. What fails is left for the next time. */
    suspend fun remove(id: BatchId) {
        val chunks = call(StoreCall.ListAll(resultsOf(id)), LIST_TIMEOUT_MS)
        if (chunks.isErr) return
        (chunks.value as StoreAnswer.Listing).entries.forEach { entry ->
            call(StoreCall.Delete(resultsOf(id), entry.name), WRITE_TIMEOUT_MS)
        }
        val removed = call(StoreCall.Delete(BATCHES, id.value), WRITE_TIMEOUT_MS)
        log.info { "old batch removed: batch=$id ok=${removed.isOk}" }
    }

    fun encode(record: BatchRecord): String = json.encodeToString(record)

    /** Reads a stored batch; null if its content is not one, which is logged. */
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
        fault: StoreFault.Conflict,
    ): ResultChunk? {
        fault.current?.let { return decodeChunk(it) }
        val answer = call(StoreCall.Read(resultsOf(id), chunkName(number)), READ_TIMEOUT_MS)
        if (answer.isErr) return null
        return (answer.value as StoreAnswer.Entry).entry?.let(::decodeChunk)
    }

    /** A chunk that can't be read is another writer's and lists nothing; its number stays taken. */
    private fun decodeChunk(entry: StoredEntry): ResultChunk =
        try {
            json.decodeFromString(entry.content)
        } catch (e: SerializationException) {
            log.error { "results unreadable: chunk=${entry.name} revision=${entry.revision} cause=${e.message}" }
            ResultChunk(emptyList())
        }

    companion object {
        private val json = Json { ignoreUnknownKeys = true }

        /** The store answers in a few milliseconds; when slow by design of its operators, in half a second. */
        private const val READ_TIMEOUT_MS = 1_000L
        private const val WRITE_TIMEOUT_MS = 1_000L
        private const val LIST_TIMEOUT_MS = 2_000L
        private const val FIRST_PAUSE_MS = 50L
        private const val LONGEST_PAUSE_MS = 800L
        private const val CHUNK_DIGITS = 6

        private fun resultsOf(id: BatchId) = Collection("results-$id")

        /** Names sort as numbers do. */
        private fun chunkName(number: Int) = number.toString().padStart(CHUNK_DIGITS, '0')
    }
}
