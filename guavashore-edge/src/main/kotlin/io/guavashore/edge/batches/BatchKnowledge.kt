/*
 * How current this VM's knowledge of the store's batches is, and what it may do on it.
 *
 * A batch can be ended through any VM, and only the store knows of all ends. Knowledge of an open batch may come from a
 * listing, a change or a notice of another VM, and all of these may be old when they are processed: a response may be
 * late, a connection may be silent, and this VM may have been suspended. Therefore nothing of a batch is started unless
 * the store has shown lately that the changes applied here are complete. Batches that have been started before go on
 * while the store states that it is unavailable, since they can't be ended then either. Calls that get no response are
 * no such statement: a VM that is overloaded or cut off gets none while others end batches.
 */
package io.guavashore.edge.batches

import io.github.oshai.kotlinlogging.KotlinLogging
import io.guavashore.api.MonotonicClock

private val log = KotlinLogging.logger {}

/**
 * Knowledge of one coordinator. Not thread-safe.
 *
 * @param isStoreOut whether the store has stated lately that it is unavailable
 */
class BatchKnowledge(
    private val clock: MonotonicClock,
    private val isStoreOut: () -> Boolean,
) {
    /** Revision up to which all changes have been applied; null while the batches must be listed. */
    var appliedRevision: Long? = null
        private set

    /** Monotonic time as of which the applied changes were complete; null before the first listing. */
    private var completeAsOfMs: Long? = null

    /** Revision of the store's last response without a change, and the monotonic time at which it arrived. */
    private var quietRevision: Long? = null
    private var quietSinceMs = 0L

    /** Batches whose start the last [mayRun] denied; each is logged once. */
    private val held = HashSet<BatchId>()

    /** Age of the knowledge in milliseconds; null before the first listing. */
    val ageMs: Long? get() = completeAsOfMs?.let { clock() - it }

    val isCurrent: Boolean get() = (ageMs ?: Long.MAX_VALUE) <= MAX_AGE_MS

    /** Records that all changes up to [revision] have been applied, by the response to a call sent at [sentAtMs]. */
    fun onChangesApplied(
        revision: Long,
        sentAtMs: Long,
    ) {
        appliedRevision = revision
        completeAsOfMs = sentAtMs
        quietRevision = null
    }

    /**
     * Records that a watch sent at [sentAtMs] returned without a change, at [revision] of the store. The next watch
     * starts from the same revision as before, as the store may have withheld changes; it moves on only so that the
     * store can discard its history.
     */
    fun onNoChange(
        revision: Long,
        sentAtMs: Long,
    ) {
        completeAsOfMs = sentAtMs
        val quiet = quietRevision
        if (quiet != null && clock() - quietSinceMs < QUIET_MS) return
        if (quiet != null) appliedRevision = maxOf(appliedRevision ?: 0, quiet)
        quietRevision = revision
        quietSinceMs = clock()
    }

    /** Records that changes may have been missed, so that the batches must be listed. */
    fun onHistoryLost() {
        appliedRevision = null
        quietRevision = null
    }

    /**
     * True if a batch that was accepted at [revision] is unknown here only because the change has not arrived yet. A
     * notice of an earlier revision says nothing: the change has been applied, and the batch may have ended since.
     */
    fun isNews(revision: Long): Boolean = appliedRevision?.let { revision > it } ?: false

    /** True if items of [batch] may be sent now. */
    fun mayRun(batch: BatchState): Boolean {
        val mayRun = isCurrent || (batch.wasStarted && isStoreOut())
        if (isCurrent) batch.wasStarted = true
        if (mayRun) {
            if (held.remove(batch.id)) log.info { "batch goes on: batch=${batch.id} knowledge_age_ms=$ageMs" }
        } else if (held.add(batch.id)) {
            log.warn { "batch held, it may have ended: batch=${batch.id} knowledge_age_ms=$ageMs" }
        }
        return mayRun
    }

    /** Forgets [batch], which is not run any more. */
    fun forget(batch: BatchId) {
        held -= batch
    }

    companion object {
        /**
         * Maximum age of the knowledge on which items are sent. No item may reach an engine later than 3 s after its
         * batch was ended; the rest is for the way to the engine.
         */
        const val MAX_AGE_MS = 2_000L

        /** A platform's store may withhold changes for about a second before it discards its history. */
        private const val QUIET_MS = 4_000L
    }
}
