/*
 * Records of suspect requests in the store, for VMs that are cut off from the others and for a restart of all VMs.
 *
 * A request is recorded once a trial has ended its target, which is rare.
 */
package io.guavashore.edge.suspects

import io.github.oshai.kotlinlogging.KotlinLogging
import io.guavashore.api.WallClock
import io.guavashore.platform.CallStore
import io.guavashore.platform.CollectionName
import io.guavashore.platform.StoreCall
import io.guavashore.platform.StoreResponse
import io.guavashore.platform.StoredEntry
import io.guavashore.routing.RequestFingerprint
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

private val log = KotlinLogging.logger {}

/** One entry for each request, named after its fingerprint. */
val SUSPECT_REQUESTS = CollectionName("suspect-requests")

/** Archive as used by one VM. Not thread-safe. */
class SuspectArchive(
    private val scope: CoroutineScope,
    private val suspects: SuspectRequests,
    private val call: CallStore,
    private val medianTimeMs: WallClock,
) {
    private val recorded = HashSet<RequestFingerprint>()
    private val writing = HashSet<RequestFingerprint>()

    /** Records what is known of [fingerprint], unless that is not needed. */
    fun onChanged(fingerprint: RequestFingerprint) {
        if (suspects[fingerprint].failedTrials == 0 && fingerprint !in recorded) return
        if (writing.add(fingerprint)) scope.launch { writeUntilRecorded(fingerprint) }
    }

    /** Decodes an entry; null if it is unreadable. */
    fun read(entry: StoredEntry): SuspectRecord? =
        try {
            Json.decodeFromString<SuspectRecord>(entry.content).also { recorded += it.fingerprint }
        } catch (e: SerializationException) {
            log.error { "record of a suspect request unreadable: name=${entry.name} cause=${e.message}" }
            null
        }

    /** Deletes the expired ones of [entries]. */
    suspend fun clean(entries: List<StoredEntry>) =
        entries.filter { isExpired(it) }.forEach { entry ->
            val outcome = call(StoreCall.Delete(SUSPECT_REQUESTS, entry.name), TIMEOUT_MS)
            if (outcome.isErr) log.warn { "record not deleted: name=${entry.name} fault=${outcome.error.message}" }
        }

    private fun isExpired(entry: StoredEntry): Boolean {
        val record = read(entry) ?: return false
        return medianTimeMs() > record.keepUntilMs
    }

    private suspend fun writeUntilRecorded(fingerprint: RequestFingerprint) {
        try {
            repeat(MAX_ATTEMPTS) {
                if (write(fingerprint)) return
                delay(RETRY_DELAY_MS)
            }
            log.error { "suspect request not recorded in the store: fingerprint=${fingerprint.value}" }
        } finally {
            writing -= fingerprint
        }
    }

    /** Returns true if the store holds what is known. */
    private suspend fun write(fingerprint: RequestFingerprint): Boolean {
        val found = call(StoreCall.Read(SUSPECT_REQUESTS, fingerprint.value), TIMEOUT_MS)
        if (found.isErr) {
            log.warn { "suspect request not read: fingerprint=${fingerprint.value} fault=${found.error.message}" }
            return false
        }
        val entry = (found.value as StoreResponse.Entry).entry
        val stored = entry?.let(::read)
        stored?.let(suspects::merge)
        val record = suspects[fingerprint]
        if (record == stored) return true
        val content = Json.encodeToString(record)
        val write =
            if (entry == null) {
                StoreCall.Create(SUSPECT_REQUESTS, fingerprint.value, content)
            } else {
                StoreCall.Replace(SUSPECT_REQUESTS, fingerprint.value, content, entry.revision)
            }
        val written = call(write, TIMEOUT_MS)
        log.info {
            "suspect request recorded in the store: fingerprint=${fingerprint.value} " +
                "fault=${if (written.isErr) written.error.message else "none"} failed_trials=${record.failedTrials}"
        }
        if (written.isOk) recorded += fingerprint
        return written.isOk && record == suspects[fingerprint]
    }

    private companion object {
        const val TIMEOUT_MS = 500L
        const val RETRY_DELAY_MS = 300L

        /** Covers an outage of the store of about half a minute. */
        const val MAX_ATTEMPTS = 60
    }
}
