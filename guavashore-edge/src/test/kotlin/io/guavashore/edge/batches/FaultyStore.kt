/*
 * In-memory store that refuses calls, loses responses, and applies writes delayed.
 */
package io.guavashore.edge.batches

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.guavashore.platform.Collection
import io.guavashore.platform.StoreAnswer
import io.guavashore.platform.StoreCall
import io.guavashore.platform.StoreFault
import io.guavashore.platform.StoredEntry
import kotlinx.coroutines.delay
import kotlin.random.Random

/** Store in which each call fails with probability [faultRate]. */
internal class FaultyStore(
    private val random: Random,
    private val faultRate: Double,
) {
    private val entries = HashMap<Pair<Collection, String>, StoredEntry>()
    private val delayed = ArrayList<StoreCall>()
    private var revision = 1L

    fun names(collection: Collection): List<String> =
        entries.keys
            .filter { it.first == collection }
            .map { it.second }
            .sorted()

    /** Executes the delayed calls, as the platform's store may do seconds later. */
    fun executeDelayed() {
        delayed.forEach(::execute)
        delayed.clear()
    }

    suspend fun call(
        call: StoreCall,
        @Suppress("UNUSED_PARAMETER") timeoutMs: Long,
    ): Result<StoreAnswer, StoreFault> {
        delay(random.nextLong(1, 40))
        if (delayed.isNotEmpty() && random.nextInt(4) == 0) execute(delayed.removeFirst())
        if (random.nextDouble() >= faultRate) return execute(call)
        return when (random.nextInt(4)) {
            0 -> Err(StoreFault.NotDone("refused"))
            1 -> Err(StoreFault.Unknown("request lost"))
            2 -> Err(StoreFault.Unknown("response lost")).also { execute(call) }
            else -> Err(StoreFault.Unknown("request delayed")).also { delayed += call }
        }
    }

    private fun execute(call: StoreCall): Result<StoreAnswer, StoreFault> =
        when (call) {
            is StoreCall.Create -> create(call)
            is StoreCall.Replace -> replace(call)
            is StoreCall.Read -> Ok(StoreAnswer.Entry(entries[call.collection to call.name]))
            is StoreCall.ListAll -> Ok(StoreAnswer.Listing(all(call.collection), revision))
            else -> error("FaultyStore does not support $call")
        }

    private fun all(collection: Collection) = entries.filterKeys { it.first == collection }.values.toList()

    private fun create(call: StoreCall.Create): Result<StoreAnswer, StoreFault> {
        val present = entries[call.collection to call.name]
        if (present != null) return Err(StoreFault.Conflict(present))
        return write(call.collection, call.name, call.content)
    }

    private fun replace(call: StoreCall.Replace): Result<StoreAnswer, StoreFault> {
        val present = entries[call.collection to call.name] ?: return Err(StoreFault.Conflict())
        if (call.expectedRevision != null && call.expectedRevision != present.revision) {
            return Err(StoreFault.Conflict(present))
        }
        return write(call.collection, call.name, call.content)
    }

    private fun write(
        collection: Collection,
        name: String,
        content: String,
    ): Result<StoreAnswer, StoreFault> {
        val entry = StoredEntry(name, ++revision, content)
        entries[collection to name] = entry
        return Ok(StoreAnswer.Entry(entry))
    }
}
