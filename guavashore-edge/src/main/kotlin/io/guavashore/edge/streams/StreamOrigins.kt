/*
 * Origins of the streams that one VM has forwarded. They are kept until their callers' deadlines, since a caller may
 * resume a stream until then, also one whose end was lost on the way.
 */
package io.guavashore.edge.streams

import io.guavashore.api.MonotonicClock
import io.guavashore.api.ServiceId
import kotlinx.serialization.Serializable

/** Id of a stream: that of the caller's request that brought its first event. */
@JvmInline
@Serializable
value class StreamId(
    val value: String,
) {
    override fun toString() = value
}

/** Origins by stream. Not thread-safe. */
class StreamOrigins(
    private val clock: MonotonicClock,
) {
    private class Known(
        val origin: StreamOrigin,
        val untilMs: Long,
    )

    private val streams = LinkedHashMap<StreamId, Known>()

    /** Number of origins recorded so far. */
    var recorded = 0L
        private set

    operator fun get(stream: StreamId): StreamOrigin? = streams[stream]?.origin

    /** Records the origin of [stream], which its caller may resume for [resumableForMs]; null if that is unknown. */
    fun record(
        stream: StreamId,
        origin: StreamOrigin,
        resumableForMs: Long?,
    ) {
        val now = clock()
        streams[stream] = Known(origin, now + (resumableForMs ?: DEFAULT_LIFETIME_MS) + MARGIN_MS)
        recorded++
        while (streams.size > MAX_STREAMS) streams.remove(streams.keys.first())
    }

    /** Streams that may still be resumed and began on one of [services], by origin. */
    fun resumable(services: Set<ServiceId>): Map<StreamOrigin, List<StreamId>> {
        val now = clock()
        streams.values.removeIf { it.untilMs < now }
        return streams.entries
            .filter { it.value.origin.service in services }
            .groupBy({ it.value.origin }, { it.key })
    }

    private companion object {
        /** Lifetime of a stream whose caller named no deadline. */
        const val DEFAULT_LIFETIME_MS = 60_000L

        /** Time that a resuming request may be under way when its deadline passes. */
        const val MARGIN_MS = 1_000L

        /** About 10 MB. */
        const val MAX_STREAMS = 50_000
    }
}
