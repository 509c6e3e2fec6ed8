/*
 * In-memory store that keeps the history of its collections, for tests of watches.
 */
package io.guavashore.edge.batches

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.guavashore.platform.CollectionName
import io.guavashore.platform.EntryChange
import io.guavashore.platform.StoreCall
import io.guavashore.platform.StoreCallError
import io.guavashore.platform.StoreResponse
import io.guavashore.platform.StoredEntry
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull

/** Store that executes calls at once, and watches when there is a change that it does not withhold. */
internal class VersionedStore {
    private val entries = LinkedHashMap<Pair<CollectionName, String>, StoredEntry>()
    private val history = ArrayList<Pair<CollectionName, EntryChange>>()
    private var changed = CompletableDeferred<Unit>()
    private var revision = 1L

    /** Changes after this revision are withheld from watches; null if none are. */
    private var withheldAfter: Long? = null

    /** Revision before which the history has been discarded. */
    private var oldestRevision = 0L

    suspend fun call(call: StoreCall): Result<StoreResponse, StoreCallError> =
        if (call is StoreCall.Watch) watch(call) else execute(call)

    /** Withholds changes from watches for [durationMs], then discards the history. */
    suspend fun compact(durationMs: Long) {
        withheldAfter = revision
        delay(durationMs)
        withheldAfter = null
        oldestRevision = revision
    }

    fun execute(call: StoreCall): Result<StoreResponse, StoreCallError> {
        val name = (call as? StoreCall.Read)?.name
        return when (call) {
            is StoreCall.Read -> Ok(StoreResponse.Entry(entries[call.collection to name]))
            is StoreCall.ListAll -> Ok(StoreResponse.Listing(all(call.collection), revision))
            is StoreCall.Create -> create(call)
            is StoreCall.Replace -> replace(call)
            else -> error("VersionedStore does not support $call")
        }
    }

    /** Replaces an existing entry whatever its revision. */
    fun replaceAny(
        collection: CollectionName,
        name: String,
        content: String,
    ) = write(collection, name, content)

    private suspend fun watch(call: StoreCall.Watch): Result<StoreResponse, StoreCallError> {
        withTimeoutOrNull(call.waitMs) {
            while (changesAfter(call).isEmpty() && call.sinceRevision >= oldestRevision) changed.await()
        }
        if (call.sinceRevision < oldestRevision) return Err(StoreCallError.HistoryGone)
        return Ok(StoreResponse.Changes(changesAfter(call), revision))
    }

    private fun changesAfter(call: StoreCall.Watch): List<EntryChange> {
        val visible = call.sinceRevision + 1..(withheldAfter ?: Long.MAX_VALUE)
        return history
            .filter { (collection, change) -> collection == call.collection && change.entry.revision in visible }
            .map { it.second }
    }

    private fun all(collection: CollectionName) = entries.filterKeys { it.first == collection }.values.toList()

    private fun create(call: StoreCall.Create): Result<StoreResponse, StoreCallError> {
        val present = entries[call.collection to call.name]
        return if (present == null) write(call.collection, call.name, call.content) else conflict(present)
    }

    private fun replace(call: StoreCall.Replace): Result<StoreResponse, StoreCallError> {
        val present = entries[call.collection to call.name]
        val isExpected = present != null && (call.expectedRevision ?: present.revision) == present.revision
        return if (isExpected) write(call.collection, call.name, call.content) else conflict(present)
    }

    private fun conflict(present: StoredEntry?) = Err(StoreCallError.Conflict(present))

    private fun write(
        collection: CollectionName,
        name: String,
        content: String,
    ): Result<StoreResponse, StoreCallError> {
        val entry = StoredEntry(name, ++revision, content)
        entries[collection to name] = entry
        history += collection to EntryChange(entry, deleted = false)
        changed.complete(Unit)
        changed = CompletableDeferred()
        return Ok(StoreResponse.Entry(entry))
    }
}
