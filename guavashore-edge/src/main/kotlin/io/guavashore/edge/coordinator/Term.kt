/*
 * One term of a coordinator: runs batches, keeps weights, reports usage, orders engines, answers retirements.
 */
package io.guavashore.edge.coordinator

import io.github.oshai.kotlinlogging.KotlinLogging
import io.guavashore.api.OrganisationId
import io.guavashore.edge.batches.BATCHES
import io.guavashore.edge.batches.BatchGateway
import io.guavashore.edge.batches.BatchId
import io.guavashore.edge.batches.BatchRunner
import io.guavashore.edge.batches.BatchState
import io.guavashore.edge.batches.BatchStore
import io.guavashore.edge.batches.ItemId
import io.guavashore.edge.batches.ItemPhase
import io.guavashore.edge.batches.StoredBatch
import io.guavashore.edge.peers.PeerCall
import io.guavashore.edge.peers.PeerReply
import io.guavashore.platform.CallStore
import io.guavashore.platform.Collection
import io.guavashore.platform.StoreAnswer
import io.guavashore.platform.StoreCall
import io.guavashore.platform.StoredEntry
import kotlinx.coroutines.delay

private val log = KotlinLogging.logger {}

/** Work of a coordinator on batches that is asked for from outside. */
class Term(
    private val runner: BatchRunner,
    private val store: BatchStore,
    private val call: CallStore,
    private val emptiedStatus: String,
    private val trueTimeMs: () -> Long,
) {
    /** Batches that are being read from the store after they had been heard of. */
    private val adopting = HashSet<BatchId>()

    /** Answers peers, and this VM's own desk. */
    suspend fun answer(call: PeerCall): PeerReply =
        when (call) {
            is PeerCall.ReadBatch -> read(call)
            is PeerCall.ReadBody -> body(call.batch, call.organisation, call.item)
            is PeerCall.EndBatch -> end(call.batch, call.organisation)
            is PeerCall.BatchAccepted -> accepted(call)
            is PeerCall.Store -> PeerReply.NotHere
        }

    /** Takes over the batches of the store, and hears of changes to them, until cancelled. */
    suspend fun followBatches() =
        follow(BATCHES) { entry, deleted ->
            val batch = if (deleted) null else store.decode(entry)
            when {
                deleted || batch?.record?.ended == true -> {
                    runner.end(BatchId(entry.name))
                    runner.ended.markEndWritten(BatchId(entry.name))
                }
                batch != null -> adopt(batch)
            }
        }

    /** Tells operators at once that a storage VM is empty: nothing that must last is on its disk. */
    suspend fun followRetirements(collection: Collection) =
        follow(collection) { entry, deleted ->
            if (!deleted && entry.status != emptiedStatus) {
                val outcome = call(StoreCall.ReplaceStatus(collection, entry.name, emptiedStatus), STORE_TIMEOUT_MS)
                log.info { "storage VM may go: vm=${entry.name} written=${outcome.isOk}" }
            }
        }

    /** Removes batches that nobody may read any more, until cancelled. */
    suspend fun removeOldBatches() {
        while (true) {
            delay(REMOVE_EVERY_MS)
            val listing = store.list()
            if (listing.isErr) continue
            listing.value.entries
                .mapNotNull(store::decode)
                .filter { it.record.ended && trueTimeMs() > it.record.keepUntilMs }
                .forEach { store.remove(it.id) }
        }
    }

    private suspend fun follow(
        collection: Collection,
        onEntry: suspend (entry: StoredEntry, deleted: Boolean) -> Unit,
    ) {
        var asOf: Long? = null
        while (true) {
            val since = asOf
            val outcome =
                if (since == null) {
                    call(StoreCall.ListAll(collection), LIST_TIMEOUT_MS)
                } else {
                    call(StoreCall.Watch(collection, since, WATCH_MS), WATCH_MS + STORE_TIMEOUT_MS)
                }
            if (outcome.isErr) {
                log.warn { "store not followed: collection=$collection as_of=$since fault=${outcome.error.message}" }
                asOf = null
                if (!outcome.error.asksForListing) delay(RETRY_MS)
                continue
            }
            asOf =
                when (val answer = outcome.value) {
                    is StoreAnswer.Listing -> {
                        answer.entries.forEach { onEntry(it, false) }
                        answer.asOfRevision
                    }
                    is StoreAnswer.Changes -> {
                        answer.changes.forEach { onEntry(it.entry, it.deleted) }
                        answer.asOfRevision
                    }
                    is StoreAnswer.Entry -> null
                }
        }
    }

    private suspend fun read(call: PeerCall.ReadBatch): PeerReply {
        val batch = runner[call.batch] ?: return readEnded(call)
        if (batch.record.organisation != call.organisation) return PeerReply.Unknown
        runner.awaitResult(batch, call.after, call.waitMs)
        // It may have ended meanwhile, or have been left to a later coordinator, which knows more.
        if (runner[call.batch] == null) return readEnded(call)
        return PeerReply.Page(batch.page(call.after, BatchGateway.MAX_PAGE_BYTES))
    }

    private fun readEnded(call: PeerCall.ReadBatch): PeerReply =
        when (endedFor(call.batch)) {
            null -> PeerReply.NotHere
            call.organisation -> PeerReply.Page(runner.ended.page(call.batch, call.after, BatchGateway.MAX_PAGE_BYTES))
            else -> PeerReply.Unknown
        }

    private fun endAgain(
        id: BatchId,
        organisation: OrganisationId,
    ): PeerReply =
        when (endedFor(id)) {
            null -> PeerReply.NotHere
            organisation -> if (runner.ended.isEndWritten(id)) PeerReply.Done else PeerReply.NotHere
            else -> PeerReply.Unknown
        }

    /** Organisation of a batch that ended in this term. */
    private fun endedFor(id: BatchId): OrganisationId? = runner.ended.organisationOf(id, trueTimeMs())

    private fun body(
        id: BatchId,
        organisation: OrganisationId,
        item: ItemId,
    ): PeerReply {
        val batch = runner[id] ?: return if (endedFor(id) == null) PeerReply.NotHere else PeerReply.Unknown
        val state = batch.item(item)
        if (batch.record.organisation != organisation || state == null) return PeerReply.Unknown
        if (state.phase == ItemPhase.LISTED) log.info { "body of a listed item asked for: batch=$id item=$item" }
        return PeerReply.Bytes(BatchGateway.decodeBody(state.spec.bodyBase64))
    }

    private suspend fun end(
        id: BatchId,
        organisation: OrganisationId,
    ): PeerReply {
        val batch = runner[id] ?: return endAgain(id, organisation)
        if (batch.record.organisation != organisation) return PeerReply.Unknown
        runner.end(id)
        val ended = store.end(id, StoredBatch(id, batch.record, batch.revision), END_TIMEOUT_MS)
        if (ended.isErr) return PeerReply.NotHere
        runner.ended.markEndWritten(id)
        return PeerReply.Done
    }

    private suspend fun accepted(call: PeerCall.BatchAccepted): PeerReply {
        val entry = StoredEntry(call.batch.value, call.entryRevision, call.content)
        store.decode(entry)?.let { adopt(it, isNew = true) }
        return PeerReply.Done
    }

    private suspend fun adopt(
        batch: StoredBatch,
        isNew: Boolean = false,
    ) {
        if (batch.record.ended || runner[batch.id] != null || !adopting.add(batch.id)) return
        try {
            if (isNew) return runner.adopt(batch, emptyList())
            while (runner[batch.id] == null) {
                val chunks = store.results(batch.id)
                if (chunks.isOk) return runner.takeOver(batch, chunks.value)
                delay(RETRY_MS)
            }
        } finally {
            adopting -= batch.id
        }
    }

    private companion object {
        const val STORE_TIMEOUT_MS = 1_000L
        const val LIST_TIMEOUT_MS = 2_500L
        const val END_TIMEOUT_MS = 1_200L
        const val WATCH_MS = 10_000L
        const val RETRY_MS = 150L

        /** Batches are kept for minutes; a listing has a price. */
        const val REMOVE_EVERY_MS = 60_000L
    }
}
