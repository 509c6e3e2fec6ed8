/*
 * Follows the store's collection of batches for one term of a coordinator: takes over the open ones and stops those
 * that have ended.
 *
 * Batches are taken over while the collection is being followed, so that an end that is written meanwhile stops the
 * takeover.
 */
package io.guavashore.edge.batches

import com.github.michaelbull.result.Result
import io.github.oshai.kotlinlogging.KotlinLogging
import io.guavashore.api.MonotonicClock
import io.guavashore.platform.CallStore
import io.guavashore.platform.StoreCall
import io.guavashore.platform.StoreCallError
import io.guavashore.platform.StoreResponse
import io.guavashore.platform.StoredEntry
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withPermit

private val log = KotlinLogging.logger {}

/** Launches a task that ends with the coordinator's term. */
typealias LaunchTask = (name: String, task: suspend () -> Unit) -> Job

/** Intake of one term. Not thread-safe. */
class BatchIntake(
    private val launch: LaunchTask,
    private val runner: BatchRunner,
    private val knowledge: BatchKnowledge,
    private val store: BatchStore,
    private val call: CallStore,
    private val clock: MonotonicClock,
) {
    /** Takeovers in progress. */
    private val takeovers = HashMap<BatchId, Job>()
    private val concurrentTakeovers = Semaphore(MAX_CONCURRENT_TAKEOVERS)

    /** True after a call without a response: the store or this VM may be too slow for the usual time limit. */
    private var isSlow = false

    /** Takes over the batches in the store and follows changes to them, until cancelled. */
    suspend fun follow() {
        while (true) {
            val sentAtMs = clock()
            val outcome = next()
            if (outcome.isErr) recover(outcome.error) else apply(outcome.value, sentAtMs)
        }
    }

    /**
     * Runs a batch that another VM has accepted. A notice that is older than the changes applied here is ignored: the
     * batch is known already, or has ended.
     */
    fun onAccepted(batch: StoredBatch) {
        if (!knowledge.isNews(batch.revision)) {
            val state = if (runner[batch.id] != null || batch.id in takeovers) "known" else "not open"
            return log.info {
                "notice of a batch ignored: batch=${batch.id} revision=${batch.revision} state=$state " +
                    "applied=${knowledge.appliedRevision} knowledge_age_ms=${knowledge.ageMs}"
            }
        }
        if (batch.id !in takeovers) runner.adopt(batch, emptyList())
    }

    private suspend fun next(): Result<StoreResponse, StoreCallError> {
        val sinceRevision = knowledge.appliedRevision ?: return call(StoreCall.ListAll(BATCHES), LIST_TIMEOUT_MS)
        // Without current knowledge nothing is started, so the store is asked to answer at once.
        val waitMs = if (knowledge.isCurrent) WATCH_MS else 1
        val marginMs = if (isSlow) SLOW_WATCH_MARGIN_MS else WATCH_MARGIN_MS
        return call(StoreCall.Watch(BATCHES, sinceRevision, waitMs), waitMs + marginMs)
    }

    private suspend fun recover(error: StoreCallError) {
        isSlow = error is StoreCallError.Unknown
        log.warn {
            "batches not synchronised: applied=${knowledge.appliedRevision} knowledge_age_ms=${knowledge.ageMs} " +
                "fault=${error.message}"
        }
        if (error.requiresListing) knowledge.onHistoryLost() else delay(RETRY_MS)
    }

    private fun apply(
        response: StoreResponse,
        sentAtMs: Long,
    ) {
        isSlow = false
        when (response) {
            is StoreResponse.Listing -> {
                response.entries.forEach { apply(it, deleted = false) }
                knowledge.onChangesApplied(response.asOfRevision, sentAtMs)
            }
            is StoreResponse.Changes -> {
                response.changes.forEach { apply(it.entry, it.deleted) }
                if (response.changes.isEmpty()) {
                    knowledge.onNoChange(response.asOfRevision, sentAtMs)
                } else {
                    knowledge.onChangesApplied(response.asOfRevision, sentAtMs)
                }
            }
            is StoreResponse.Entry -> knowledge.onHistoryLost()
        }
        runner.wake()
    }

    private fun apply(
        entry: StoredEntry,
        deleted: Boolean,
    ) {
        val batch = if (deleted) null else store.decode(entry)
        when {
            deleted || batch?.record?.ended == true -> stop(BatchId(entry.name))
            batch != null -> takeOver(batch)
        }
    }

    private fun stop(id: BatchId) {
        takeovers.remove(id)?.let {
            it.cancel()
            log.info { "takeover of a batch stopped, it has ended: batch=$id" }
        }
        runner.end(id)
        runner.ended.markEndWritten(id)
    }

    private fun takeOver(batch: StoredBatch) {
        if (runner[batch.id] != null || batch.id in takeovers) return
        val takeover =
            launch("takeover of batch ${batch.id}") {
                concurrentTakeovers.withPermit { readAndTakeOver(batch) }
                takeovers -= batch.id
            }
        if (takeover.isActive) takeovers[batch.id] = takeover
    }

    private suspend fun readAndTakeOver(batch: StoredBatch) {
        while (runner[batch.id] == null) {
            val chunks = store.results(batch.id)
            if (chunks.isOk) return runner.takeOver(batch, chunks.value)
            delay(RETRY_MS)
        }
    }

    private companion object {
        const val LIST_TIMEOUT_MS = 2_500L

        /** Two watches and their round trips fit into the maximum age of the knowledge. */
        const val WATCH_MS = 750L

        /** The store responds within 0.5 s when its operators slow it down. */
        const val WATCH_MARGIN_MS = 700L

        /** Leaves some of the maximum age of the knowledge for sending items. */
        const val SLOW_WATCH_MARGIN_MS = 1_500L
        const val RETRY_MS = 150L

        /** Each takeover makes two calls; a coordinator of a large deployment takes over dozens of batches. */
        const val MAX_CONCURRENT_TAKEOVERS = 4
    }
}
