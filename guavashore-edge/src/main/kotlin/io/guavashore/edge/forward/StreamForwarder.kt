/*
 * Passes an event stream on, event by event.
 *
 * A stream that may be resumed and whose run breaks off goes on at another target within the same answer: the next run
 * is asked for what follows the last event that the caller has, and must use the same version of the weights.
 */
package io.guavashore.edge.forward

import io.github.oshai.kotlinlogging.KotlinLogging
import io.guavashore.api.MonotonicClock
import io.guavashore.edge.targets.EventReader
import io.guavashore.edge.targets.StreamEvent
import io.guavashore.edge.targets.StreamIdleTimer
import io.guavashore.edge.targets.TargetProtocol
import io.guavashore.net.ResponseHead
import io.guavashore.net.HttpConnection

private val log = KotlinLogging.logger {}

/** What a caller has of its stream so far. */
class StreamProgress {
    var lastEventId: Long? = null
    var weightVersion: Long? = null
}

internal class StreamForwarder(
    private val targets: TargetProtocol,
    private val clock: MonotonicClock,
) {
    /**
     * Forwards whole events only. Returns null once the caller has the whole stream; a stream that breaks is resumed
     * by the next attempt, or cut, so that it does not look complete.
     */
    suspend fun pass(
        call: ForwardedCall,
        head: ResponseHead,
        connection: HttpConnection,
    ): AttemptEnd? {
        val version = targets.metadata(head).weightVersion
        if (call.exchange.hasBegun) {
            if (version != call.stream.weightVersion) return broken(call, "version $version of the weights")
        } else {
            call.exchange.begin(ResponseHead(head.status, targets.responseHeaders(head)))
            call.stream.weightVersion = version
        }
        return passEvents(call, connection)
    }

    private suspend fun passEvents(
        call: ForwardedCall,
        connection: HttpConnection,
    ): AttemptEnd? {
        val reader = EventReader()
        val silence = StreamIdleTimer(clock)
        val longestMs = longestSilenceMs(call)
        while (true) {
            val part = connection.nextPartWithin(silence.waitMs(longestMs)) ?: return silent(call, longestMs)
            val events = reader.take(part.bytes ?: break)
            if (!events.all { pass(call, it) }) return broken(call, "event out of order")
            if (events.any { !it.isComment }) silence.eventReceived()
            if (silence.hasExceeded(longestMs)) return silent(call, longestMs)
        }
        if (!reader.isBetweenEvents) return broken(call, "ended within an event")
        call.exchange.finish()
        return null
    }

    /** A stream that can go on elsewhere is not waited for; one that can't has until its call's deadline. */
    private fun longestSilenceMs(call: ForwardedCall): Long {
        val isLastRun = call.attempts.mayHaveRun + 1 >= call.route.maxAttempts
        return if (call.route.isResumable && !isLastRun) LONGEST_SILENCE_MS else maxOf(0, call.deadlineMs - clock())
    }

    private fun silent(
        call: ForwardedCall,
        longestMs: Long,
    ) = broken(call, "no event in $longestMs ms")

    /** False for an event that does not follow the last one. */
    private suspend fun pass(
        call: ForwardedCall,
        event: StreamEvent,
    ): Boolean {
        val last = call.stream.lastEventId
        val id = event.id
        if (last != null && id != null && id != last + 1) return false
        call.stream.weightVersion =
            event.lines.firstNotNullOfOrNull(targets.eventVersion) ?: call.stream.weightVersion
        call.stream.lastEventId = id ?: last
        call.exchange.write(event.raw)
        return true
    }

    private fun broken(
        call: ForwardedCall,
        reason: String,
    ): AttemptEnd {
        log.info {
            "stream broke off: request=${call.metadata.requestId} reason=$reason last_event=${call.stream.lastEventId} " +
                "version=${call.stream.weightVersion} resumable=${call.route.isResumable}"
        }
        return AttemptEnd.UNCERTAIN
    }

    private companion object {
        /** Callers leave after a gap of 2 s or more; the rest is for the run at another target. */
        const val LONGEST_SILENCE_MS = 1_200L
    }
}
