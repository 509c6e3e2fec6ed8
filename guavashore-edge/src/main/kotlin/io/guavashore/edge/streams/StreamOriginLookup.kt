/*
 * Finds the origin of a stream that a caller resumes at this VM.
 */
package io.guavashore.edge.streams

import io.github.oshai.kotlinlogging.KotlinLogging
import io.guavashore.api.ServiceId
import kotlinx.coroutines.delay

private val log = KotlinLogging.logger {}

/** Lookup on one VM. Not thread-safe. */
class StreamOriginLookup(
    private val origins: StreamOrigins,
    private val versions: AdmittedVersions,
    private val archive: StreamOriginArchive,
) {
    /**
     * Returns the origin of [stream], which began on one of [services]; null if it is not known, so that the stream
     * can't be resumed. [stream] is null if the caller did not name the stream.
     */
    suspend fun find(
        stream: StreamId?,
        services: List<ServiceId>,
    ): StreamOrigin? {
        stream?.let { origins[it] }?.let { return it }
        val possible =
            services.flatMap { service ->
                val recorded = versions.read(service) ?: return null
                recorded.map { StreamOrigin(service, it) }
            }
        val found = possible.singleOrNull() ?: stream?.let { archived(it) }
        log.info { "stream origin looked up: stream=$stream possible=$possible found=$found" }
        return found
    }

    /** The VM that forwarded the stream may be about to write its origin. */
    private suspend fun archived(stream: StreamId): StreamOrigin? =
        archive.find(stream) ?: run {
            delay(WRITE_WAIT_MS)
            archive.find(stream)
        }

    private companion object {
        /** Somewhat longer than the time between two writes of one VM. */
        const val WRITE_WAIT_MS = 250L
    }
}
