/*
 * Forwards an event stream, event by event.
 *
 * If a resumable stream is interrupted, another target continues it within the same response. The next attempt requests
 * the events after the last one that the caller has received, and must use the same version of the weights and of the
 * software.
 */
package io.guavashore.edge.forward

import io.github.oshai.kotlinlogging.KotlinLogging
import io.guavashore.api.MonotonicClock
import io.guavashore.edge.declared.TargetEntry
import io.guavashore.edge.streams.StreamOrigin
import io.guavashore.edge.targets.EventReader
import io.guavashore.edge.targets.ReceivedResponse
import io.guavashore.edge.targets.StreamEvent
import io.guavashore.edge.targets.StreamIdleTimer
import io.guavashore.edge.targets.TargetProtocol
import io.guavashore.net.HttpConnection
import io.guavashore.net.ResponseHead

private val log = KotlinLogging.logger {}

/**
 * Progress of the stream that is sent to a caller.
 *
 * @property lastEventId id of the last event sent; null if there is none
 * @property origin origin of the stream's first event; null if there is none
 * @property isRecorded true once the origin has been recorded for later requests that resume the stream
 * @property weightVersion version of the weights that produced the stream; null if the target did not state it
 */
class StreamProgress {
    var lastEventId: Long? = null
    var origin: StreamOrigin? = null
    var isRecorded = false
    var weightVersion: Long? = null
}

internal class StreamForwarder(
    private val targets: TargetProtocol,
    private val recordOrigin: RecordOrigin,
    private val clock: MonotonicClock,
) {
    /**
     * Forwards complete events only. Returns null once the complete stream has been sent. An interrupted stream is
     * resumed by the next attempt or aborted, so that the caller can't take it for complete. A peer records the origins
     * of the streams that it relays.
     */
    suspend fun forward(
        call: ForwardedCall,
        sender: ResponseSender,
        response: ReceivedResponse,
        connection: HttpConnection,
    ): AttemptOutcome? {
        val (head, metadata) = response
        val version = metadata.weightVersion
        val target = (sender as? ResponseSender.Target)?.entry
        if (call.exchange.hasBegun) {
            if (version != call.stream.weightVersion) return interrupted(call, "weight version changed to $version")
        } else {
            call.exchange.begin(ResponseHead(head.status, targets.responseHeaders(head)))
            call.stream.weightVersion = version
        }
        log.info {
            "stream from target: ${call.logFields(response, sender)} software=${target?.software} " +
                "resumes=${call.metadata.resumes} after_event=${call.lastEventId}"
        }
        val failure = forwardEvents(call, target, connection)
        if (failure == null) call.finish(response, sender)
        return failure
    }

    /** Returns null once all events have been sent. */
    private suspend fun forwardEvents(
        call: ForwardedCall,
        target: TargetEntry?,
        connection: HttpConnection,
    ): AttemptOutcome? {
        val reader = EventReader()
        val idleTimer = StreamIdleTimer(clock)
        val timeoutMs = idleTimeoutMs(call)
        while (true) {
            val part = connection.nextPartWithin(idleTimer.waitMs(timeoutMs)) ?: return timedOut(call, timeoutMs)
            val events = reader.take(part.bytes ?: break)
            if (!events.all { forward(call, target, it) }) return interrupted(call, "event id out of sequence")
            if (events.any { !it.isComment }) idleTimer.eventReceived()
            if (idleTimer.hasExceeded(timeoutMs)) return timedOut(call, timeoutMs)
        }
        if (!reader.isBetweenEvents) return interrupted(call, "stream ended within an event")
        return null
    }

    /** A stream that another target can resume is given up early; any other may be idle until the call's deadline. */
    private fun idleTimeoutMs(call: ForwardedCall): Long {
        val isLastAttempt = call.attempts.mayHaveRun + 1 >= call.route.maxAttempts
        return if (call.route.isResumable && !isLastAttempt) IDLE_TIMEOUT_MS else maxOf(0, call.deadlineMs - clock())
    }

    private fun timedOut(
        call: ForwardedCall,
        timeoutMs: Long,
    ) = interrupted(call, "no event within $timeoutMs ms")

    /** Forwards [event]; returns false if its id does not follow the last one. */
    private suspend fun forward(
        call: ForwardedCall,
        target: TargetEntry?,
        event: StreamEvent,
    ): Boolean {
        val last = call.lastEventId
        val id = event.id
        if (last != null && id != null && id != last + 1) return false
        call.stream.weightVersion =
            event.lines.firstNotNullOfOrNull(targets.eventVersion) ?: call.stream.weightVersion
        call.stream.lastEventId = id ?: last
        if (!event.isComment && target != null) recordOriginOnce(call, target)
        call.exchange.write(event.raw)
        return true
    }

    /** A resumed stream is recorded too, since the VM that began it may be lost meanwhile. */
    private fun recordOriginOnce(
        call: ForwardedCall,
        target: TargetEntry,
    ) {
        if (call.stream.isRecorded) return
        call.stream.isRecorded = true
        val origin = call.stream.origin ?: StreamOrigin.of(target).also { call.stream.origin = it }
        call.streamId?.let { recordOrigin(it, origin, call.metadata.deadlineInMs) }
    }

    private fun interrupted(
        call: ForwardedCall,
        reason: String,
    ): AttemptOutcome {
        log.info {
            "stream interrupted: request=${call.metadata.requestId} reason=$reason " +
                "last_event=${call.stream.lastEventId} version=${call.stream.weightVersion} " +
                "resumable=${call.route.isResumable}"
        }
        return AttemptOutcome.UNCERTAIN
    }

    private companion object {
        /** Callers disconnect after a gap of 2 s or more; the difference is left for the attempt on another target. */
        const val IDLE_TIMEOUT_MS = 1_200L
    }
}
