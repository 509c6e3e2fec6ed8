/*
 * Work on batches and retirements during one term of a coordinator: handles peers' calls on batches, follows the
 * store's collections of batches and retirements, and deletes expired batches.
 */
package io.guavashore.edge.coordinator

import io.github.oshai.kotlinlogging.KotlinLogging
import io.guavashore.api.OrganisationId
import io.guavashore.edge.batches.BatchId
import io.guavashore.edge.batches.BatchIntake
import io.guavashore.edge.batches.BatchReader
import io.guavashore.edge.batches.BatchRunner
import io.guavashore.edge.batches.BatchStore
import io.guavashore.edge.batches.StoredBatch
import io.guavashore.edge.limits.PermitIssuer
import io.guavashore.edge.limits.RequestPermits
import io.guavashore.edge.peers.PeerCall
import io.guavashore.edge.peers.PeerReply
import io.guavashore.platform.CallStore
import io.guavashore.platform.CollectionName
import io.guavashore.platform.StoreCall
import io.guavashore.platform.StoreResponse
import io.guavashore.platform.StoredEntry
import kotlinx.coroutines.delay

private val log = KotlinLogging.logger {}

/** Handles the calls and store changes of one term. Not thread-safe. */
class CoordinatorTerm(
    private val runner: BatchRunner,
    private val intake: BatchIntake,
    private val reader: BatchReader,
    private val permits: PermitIssuer,
    private val requestPermits: RequestPermits,
    private val store: BatchStore,
    private val call: CallStore,
    private val emptiedStatus: String,
    private val medianTimeMs: () -> Long,
) {
    /** Handles a batch call from a peer or from this VM. */
    suspend fun handleCall(call: PeerCall): PeerReply =
        when (call) {
            is PeerCall.ReadBatch -> reader.read(call)
            is PeerCall.ReadBody -> reader.readBody(call)
            is PeerCall.EndBatch -> end(call.batch, call.organisation)
            is PeerCall.BatchAccepted -> adoptAccepted(call)
            is PeerCall.Permits -> issuePermits(call)
            is PeerCall.Store, is PeerCall.BeginTrial, is PeerCall.EndTrial -> PeerReply.NotHere
        }

    /** Takes over the batches in the store and follows changes to them, until cancelled. */
    suspend fun followBatches() = intake.follow()

    /** Reports a retiring storage VM as empty at once, since its disk holds no data that must be preserved. */
    suspend fun followRetirements(collection: CollectionName) =
        follow(collection) { entry, deleted ->
            if (!deleted && entry.status != emptiedStatus) {
                val outcome = call(StoreCall.ReplaceStatus(collection, entry.name, emptiedStatus), STORE_TIMEOUT_MS)
                log.info { "storage VM reported as empty: vm=${entry.name} written=${outcome.isOk}" }
            }
        }

    /** Deletes ended batches whose retention period is over, until cancelled. */
    suspend fun deleteExpiredBatches() {
        while (true) {
            delay(CLEANUP_INTERVAL_MS)
            val listing = store.list()
            if (listing.isErr) continue
            listing.value.entries
                .mapNotNull(store::decode)
                .filter { it.record.ended && medianTimeMs() > it.record.keepUntilMs }
                .forEach { store.remove(it.id) }
        }
    }

    private suspend fun follow(
        collection: CollectionName,
        onEntry: suspend (entry: StoredEntry, deleted: Boolean) -> Unit,
    ) {
        // Revision up to which all entries have been processed; null if the collection must be listed.
        var processedRevision: Long? = null
        while (true) {
            val sinceRevision = processedRevision
            val outcome =
                if (sinceRevision == null) {
                    call(StoreCall.ListAll(collection), LIST_TIMEOUT_MS)
                } else {
                    call(StoreCall.Watch(collection, sinceRevision, WATCH_MS), WATCH_MS + STORE_TIMEOUT_MS)
                }
            if (outcome.isErr) {
                log.warn {
                    "store synchronisation failed: collection=$collection as_of=$sinceRevision " +
                        "fault=${outcome.error.message}"
                }
                processedRevision = null
                if (!outcome.error.requiresListing) delay(RETRY_MS)
                continue
            }
            processedRevision =
                when (val response = outcome.value) {
                    is StoreResponse.Listing -> {
                        response.entries.forEach { onEntry(it, false) }
                        response.asOfRevision
                    }
                    is StoreResponse.Changes -> {
                        response.changes.forEach { onEntry(it.entry, it.deleted) }
                        response.asOfRevision
                    }
                    is StoreResponse.Entry -> null
                }
        }
    }

    private fun issuePermits(call: PeerCall.Permits): PeerReply =
        if (requestPermits.mayIssue()) {
            PeerReply.Permits(call.requests.map { permits.decide(it, requestPermits.holdsLease()) })
        } else {
            PeerReply.NotHere
        }

    /** Reply to an end call for a batch that is not open. */
    private fun repeatedEnd(
        id: BatchId,
        organisation: OrganisationId,
    ): PeerReply =
        when (reader.endedBatchOwner(id)) {
            null -> PeerReply.NotHere
            organisation -> if (runner.ended.isEndWritten(id)) PeerReply.Done else PeerReply.NotHere
            else -> PeerReply.Unknown
        }

    /** Ends the batch. Replies a fault of the store as such: the runs of the batch are stopped by then. */
    private suspend fun end(
        id: BatchId,
        organisation: OrganisationId,
    ): PeerReply {
        val batch = runner[id] ?: return repeatedEnd(id, organisation)
        if (batch.record.organisation != organisation) return PeerReply.Unknown
        runner.end(id)
        val ended = store.end(id, StoredBatch(id, batch.record, batch.revision), END_TIMEOUT_MS)
        if (ended.isErr) return PeerReply.Store(fault = ended.error)
        runner.ended.markEndWritten(id)
        return PeerReply.Done
    }

    private fun adoptAccepted(call: PeerCall.BatchAccepted): PeerReply {
        val entry = StoredEntry(call.batch.value, call.entryRevision, call.content)
        store.decode(entry)?.let(intake::onAccepted)
        return PeerReply.Done
    }

    private companion object {
        const val STORE_TIMEOUT_MS = 1_000L
        const val LIST_TIMEOUT_MS = 2_500L
        const val END_TIMEOUT_MS = 1_200L
        const val WATCH_MS = 10_000L
        const val RETRY_MS = 150L

        /** Batches are retained for minutes, and each pass needs a full listing from the store. */
        const val CLEANUP_INTERVAL_MS = 60_000L
    }
}
