/*
 * Software versions that may begin streams, by service, as recorded in the store.
 *
 * A version is recorded before the first stream goes to one of its targets. A reader of the record therefore finds the
 * version that began any earlier stream, even if all VMs were lost and the targets were replaced in between. While the
 * record names a single version, that version began all streams.
 */
package io.guavashore.edge.streams

import io.github.oshai.kotlinlogging.KotlinLogging
import io.guavashore.api.ServiceId
import io.guavashore.edge.declared.SoftwareVersion
import io.guavashore.edge.declared.TargetEntry
import io.guavashore.platform.CallStore
import io.guavashore.platform.CollectionName
import io.guavashore.platform.StoreCall
import io.guavashore.platform.StoreCallError
import io.guavashore.platform.StoreResponse
import io.guavashore.platform.StoredEntry
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

private val log = KotlinLogging.logger {}

/** One entry for each service, named after it. */
val SOFTWARE_VERSIONS = CollectionName("software-versions")

/** Software versions of one service, as stored. */
@Serializable
data class VersionRecord(
    val versions: Set<SoftwareVersion>,
)

/** Admitted versions as known to one VM; records new ones in [scope]. Not thread-safe. */
class AdmittedVersions(
    private val scope: CoroutineScope,
    private val call: CallStore,
) {
    private val records = HashMap<ServiceId, Set<SoftwareVersion>>()
    private val admitted = HashSet<StreamOrigin>()
    private val admissions = HashMap<StreamOrigin, Deferred<Boolean>>()

    /** Versions of [service] in the record, as last read or written by this VM. */
    fun lastKnown(service: ServiceId): Set<SoftwareVersion> = records[service].orEmpty()

    /** Returns those of [targets] that may begin a stream; waits for a record only if there are no others. */
    suspend fun admit(targets: List<TargetEntry>): List<TargetEntry> {
        val origins = targets.mapTo(HashSet()) { StreamOrigin.of(it) }
        val pending = origins.filterNot { it in admitted }.map(::admission)
        if (pending.size == origins.size) withTimeoutOrNull(MAX_WAIT_MS) { pending.awaitAll() }
        return targets.filter { StreamOrigin.of(it) in admitted }
    }

    /** Discards the admission of all versions that are not in [listed]; they are recorded anew when they return. */
    fun retain(listed: Set<StreamOrigin>) {
        admitted.retainAll(listed)
    }

    /** Reads the versions of [service] from the store; null if the store does not respond. */
    suspend fun read(service: ServiceId): Set<SoftwareVersion>? {
        val outcome = call(StoreCall.Read(SOFTWARE_VERSIONS, service.value), CALL_TIMEOUT_MS)
        if (outcome.isErr) {
            log.warn { "software versions not read: service=$service fault=${outcome.error.message}" }
            return null
        }
        return versionsIn((outcome.value as StoreResponse.Entry).entry).also { records[service] = it }
    }

    private fun admission(origin: StreamOrigin): Deferred<Boolean> =
        admissions.getOrPut(origin) {
            scope.async {
                try {
                    record(origin).also { if (it) admitted += origin }
                } finally {
                    admissions -= origin
                }
            }
        }

    /** Adds the version of [origin] to the record; false if the store did not confirm it. */
    private suspend fun record(origin: StreamOrigin): Boolean {
        val id = origin.service.value
        repeat(MAX_ATTEMPTS) { attempt ->
            if (attempt > 0) delay(RETRY_DELAY_MS)
            val found = call(StoreCall.Read(SOFTWARE_VERSIONS, id), CALL_TIMEOUT_MS)
            if (found.isErr) return@repeat logFailure(origin, found.error)
            val entry = (found.value as StoreResponse.Entry).entry
            val versions = versionsIn(entry) + origin.software
            val isRecorded = entry != null && versions == versionsIn(entry)
            val content = Json.encodeToString(VersionRecord(versions))
            if (!isRecorded) {
                val write =
                    if (entry == null) {
                        StoreCall.Create(SOFTWARE_VERSIONS, id, content)
                    } else {
                        StoreCall.Replace(SOFTWARE_VERSIONS, id, content, entry.revision)
                    }
                val written = call(write, CALL_TIMEOUT_MS)
                if (written.isErr) return@repeat logFailure(origin, written.error)
            }
            records[origin.service] = versions
            log.info { "software version admitted: service=$id software=${origin.software} all=$versions" }
            return true
        }
        return false
    }

    private fun logFailure(
        origin: StreamOrigin,
        fault: StoreCallError,
    ) = log.warn {
        "software version not recorded: service=${origin.service} software=${origin.software} fault=${fault.message}"
    }

    private companion object {
        /** Bounds the time for which a request waits for the first record of its service. */
        const val MAX_WAIT_MS = 1_000L
        const val CALL_TIMEOUT_MS = 500L
        const val MAX_ATTEMPTS = 5
        const val RETRY_DELAY_MS = 40L
    }
}

/** Versions in a stored record. One that can't be decoded, written by another writer, names none and is replaced. */
internal fun versionsIn(entry: StoredEntry?): Set<SoftwareVersion> {
    if (entry == null) return emptySet()
    return try {
        Json.decodeFromString<VersionRecord>(entry.content).versions
    } catch (e: SerializationException) {
        log.error { "record of software versions unreadable: service=${entry.name} cause=${e.message}" }
        emptySet()
    }
}
