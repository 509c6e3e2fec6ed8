/*
 * Copies of the stream origins in the store, from which any VM learns how to resume the streams of a VM that was lost.
 *
 * Load pattern: hundreds of streams begin each second at each VM. While a service has a single software version, its
 * streams need no copies (see [AdmittedVersions]). While it has several, each VM writes the origins of all its streams
 * to one entry of its own, at an interval that grows with the number of VMs. A stream whose VM is lost before the next
 * write can't be resumed.
 *
 * When a VM is lost, its callers resume their streams elsewhere within milliseconds. Lookups of one VM that arrive
 * together share one call.
 */
package io.guavashore.edge.streams

import io.github.oshai.kotlinlogging.KotlinLogging
import io.guavashore.api.ServiceId
import io.guavashore.api.WallClock
import io.guavashore.edge.peers.VmRecord
import io.guavashore.platform.CallStore
import io.guavashore.platform.CollectionName
import io.guavashore.platform.StoreCall
import io.guavashore.platform.StoreCallError
import io.guavashore.platform.StoreResponse
import io.guavashore.platform.StoredEntry
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

private val log = KotlinLogging.logger {}

/** One entry for each process of a VM that has forwarded streams of a service with several software versions. */
val STREAM_ORIGINS = CollectionName("stream-origins")

/** Streams with the same origin. */
@Serializable
data class OriginGroup(
    val origin: StreamOrigin,
    val streams: List<StreamId>,
)

/** Origins of the streams of one process, as stored; [writtenAtMs] is in Unix milliseconds. */
@Serializable
data class OriginRecord(
    val writtenAtMs: Long,
    val groups: List<OriginGroup>,
)

/**
 * Archive of one VM. Not thread-safe.
 *
 * @param servicesToCopy services whose streams need copies
 * @param vmCount number of VMs that may write
 */
class StreamOriginArchive(
    vmRecord: VmRecord,
    private val scope: CoroutineScope,
    private val origins: StreamOrigins,
    private val servicesToCopy: () -> Set<ServiceId>,
    private val vmCount: () -> Int,
    private val call: CallStore,
    private val wallClock: WallClock,
) {
    private val entryName = "${vmRecord.vm}-${vmRecord.incarnation}"
    private var revision: Long? = null
    private var writtenCount = 0L
    private var listing: Deferred<Map<StreamId, StreamOrigin>?>? = null

    /** Writes copies until cancelled. */
    suspend fun run() {
        while (true) {
            delay(maxOf(MIN_WRITE_INTERVAL_MS, WRITE_SPACING_MS * vmCount()))
            if (origins.recorded != writtenCount) write()
        }
    }

    /** Origin of [stream] according to the copies in the store; null if there is none or the store does not respond. */
    suspend fun find(stream: StreamId): StreamOrigin? {
        val current = listing ?: scope.async { list() }.also { listing = it }
        return current.await()?.get(stream)
    }

    private suspend fun write() {
        val services = servicesToCopy()
        if (services.isEmpty()) return
        val recorded = origins.recorded
        val groups = origins.resumable(services).map { (origin, streams) -> OriginGroup(origin, streams) }
        if (groups.isEmpty()) return
        val content = Json.encodeToString(OriginRecord(wallClock(), groups))
        // The revision keeps a write that the store carries out late from replacing a newer one.
        val write =
            revision?.let { StoreCall.Replace(STREAM_ORIGINS, entryName, content, it) }
                ?: StoreCall.Create(STREAM_ORIGINS, entryName, content)
        val outcome = call(write, WRITE_TIMEOUT_MS)
        if (outcome.isOk) {
            revision = (outcome.value as StoreResponse.Entry).entry?.revision
            writtenCount = recorded
        } else {
            log.warn { "stream origins not written: entry=$entryName fault=${outcome.error.message}" }
            revision = (outcome.error as? StoreCallError.Conflict)?.current?.revision
        }
    }

    private suspend fun list(): Map<StreamId, StreamOrigin>? {
        try {
            val outcome = call(StoreCall.ListAll(STREAM_ORIGINS), LIST_TIMEOUT_MS)
            if (outcome.isErr) {
                log.warn { "stream origins not read: fault=${outcome.error.message}" }
                return null
            }
            val groups = (outcome.value as StoreResponse.Listing).entries.mapNotNull(::readOriginRecord)
            return groups
                .flatMap { it.groups }
                .flatMap { group -> group.streams.map { it to group.origin } }
                .toMap()
        } finally {
            listing = null
        }
    }

    private companion object {
        /** A stream that is lost earlier than this after its first event can't be resumed. */
        const val MIN_WRITE_INTERVAL_MS = 100L

        /** All VMs together write 250 times a second at most. */
        const val WRITE_SPACING_MS = 4L
        const val WRITE_TIMEOUT_MS = 1_000L
        const val LIST_TIMEOUT_MS = 800L
    }
}

/** Decodes an entry of [STREAM_ORIGINS]; logs an error and returns null if its content is invalid. */
internal fun readOriginRecord(entry: StoredEntry): OriginRecord? =
    try {
        Json.decodeFromString<OriginRecord>(entry.content)
    } catch (e: SerializationException) {
        log.error { "stream origins unreadable: entry=${entry.name} cause=${e.message}" }
        null
    }
