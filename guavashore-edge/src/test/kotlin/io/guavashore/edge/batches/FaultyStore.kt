/*
 * In-memory store that refuses calls, loses responses, and applies writes delayed.
 */
package io.guavashore.edge.batches

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.guavashore.platform.CollectionName
import io.guavashore.platform.StoreCall
import io.guavashore.platform.StoreCallError
import io.guavashore.platform.StoreResponse
import io.guavashore.platform.StoredEntry
import kotlinx.coroutines.delay
import kotlin.random.Random

/** Store in which each call fails with probability [faultRate]. */
internal class FaultyStore(
    private val random: Random,
    private val faultRate: Double,
) {
    private val entries = HashMap<Pair<CollectionName, String>, StoredEntry>()
    private val delayed = ArrayList<StoreCall>()
    private var revision = 1L

    fun names(collection: CollectionName): List<String> =
        entries.keys
            .filter { it.first == collection }
            .map { it.second }
            .sorted()

    /** Entry as stored now; null if there is none. */
    fun entry(
        collection: CollectionName,
        name: String,
    ): StoredEntry? = entries[collection to name]

    /** Executes the delayed calls, as the platform's store may do seconds later. */
    fun executeDelayed() {
        delayed.forEach(::execute)
        delayed.clear()
    }

    suspend fun call(
        call: StoreCall,
        @Suppress("UNUSED_PARAMETER") timeoutMs: Long,
    ): Result<StoreResponse, StoreCallError> {
        delay(random.nextLong(1, 40))
        if (delayed.isNotEmpty() && random.nextInt(4) == 0) execute(delayed.removeFirst())
        if (random.nextDouble() >= faultRate) return execute(call)
        return when (random.nextInt(4)) {
            0 -> Err(StoreCallError.NotDone("refused"))
            1 -> Err(StoreCallError.Unknown("request lost"))
            2 -> Err(StoreCallError.Unknown("response lost")).also { execute(call) }
            else -> Err(StoreCallError.Unknown("request delayed")).also { delayed += call }
        }
    }

    private fun execute(call: StoreCall): Result<StoreResponse, StoreCallError> =
        when (call) {
            is StoreCall.Create -> create(call)
            is StoreCall.Replace -> replace(call)
            is StoreCall.Read -> Ok(StoreResponse.Entry(entries[call.collection to call.name]))
            is StoreCall.ListAll -> Ok(StoreResponse.Listing(all(call.collection), revision))
            else -> error("FaultyStore does not support $call")
        }

    private fun all(collection: CollectionName) = entries.filterKeys { it.first == collection }.values.toList()

    private fun create(call: StoreCall.Create): Result<StoreResponse, StoreCallError> {
        val present = entries[call.collection to call.name]
        if (present != null) return Err(StoreCallError.Conflict(present))
        return write(call.collection, call.name, call.content)
    }

    private fun replace(call: StoreCall.Replace): Result<StoreResponse, StoreCallError> {
        val present = entries[call.collection to call.name] ?: return Err(StoreCallError.Conflict())
        if (call.expectedRevision != null && call.expectedRevision != present.revision) {
            return Err(StoreCallError.Conflict(present))
        }
        return write(call.collection, call.name, call.content)
    }

    private fun write(
        collection: CollectionName,
        name: String,
        content: String,
    ): Result<StoreResponse, StoreCallError> {
        val entry = StoredEntry(name, ++revision, content)
        entries[collection to name] = entry
        return Ok(StoreResponse.Entry(entry))
    }
}
