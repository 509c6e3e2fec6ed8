/*
 * Store in memory whose answers get lost, whose calls are refused, and whose writes may take effect late.
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

/** Each call meets a fault with probability [faults]. */
internal class FaultyStore(
    private val random: Random,
    private val faults: Double,
) {
    private val entries = HashMap<Pair<Collection, String>, StoredEntry>()
    private val late = ArrayList<StoreCall>()
    private var revision = 1L

    fun names(collection: Collection): List<String> =
        entries.keys
            .filter { it.first == collection }
            .map { it.second }
            .sorted()

    /** Carries out what was held back, as the platform's store may seconds later. */
    fun settle() {
        late.forEach(::carryOut)
        late.clear()
    }

    suspend fun call(
        call: StoreCall,
        @Suppress("UNUSED_PARAMETER") timeoutMs: Long,
    ): Result<StoreAnswer, StoreFault> {
        delay(random.nextLong(1, 40))
        if (late.isNotEmpty() && random.nextInt(4) == 0) carryOut(late.removeFirst())
        if (random.nextDouble() >= faults) return carryOut(call)
        return when (random.nextInt(4)) {
            0 -> Err(StoreFault.NotDone("refused"))
            1 -> Err(StoreFault.Unknown("lost on the way"))
            2 -> Err(StoreFault.Unknown("answer lost")).also { carryOut(call) }
            else -> Err(StoreFault.Unknown("held back")).also { late += call }
        }
    }

    private fun carryOut(call: StoreCall): Result<StoreAnswer, StoreFault> =
        when (call) {
            is StoreCall.Create -> create(call)
            is StoreCall.Replace -> replace(call)
            is StoreCall.Read -> Ok(StoreAnswer.Entry(entries[call.collection to call.name]))
            is StoreCall.ListAll -> Ok(StoreAnswer.Listing(all(call.collection), revision))
            else -> error("not used here: $call")
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
