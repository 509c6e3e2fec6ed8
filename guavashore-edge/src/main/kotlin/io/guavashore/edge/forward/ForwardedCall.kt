/*
 * State of a caller's request while it is forwarded.
 */
package io.guavashore.edge.forward

import io.guavashore.api.OrganisationId
import io.guavashore.api.TargetId
import io.guavashore.api.VmId
import io.guavashore.edge.declared.Route
import io.guavashore.edge.declared.RouteKind
import io.guavashore.edge.front.RequestMetadata
import io.guavashore.edge.front.Resumption
import io.guavashore.edge.streams.StreamId
import io.guavashore.edge.suspects.Run
import io.guavashore.net.HttpExchange
import io.guavashore.routing.RequestFingerprint

/** State of one caller's request while it is forwarded. [deadlineMs] is on the monotonic clock. */
class ForwardedCall(
    val exchange: HttpExchange,
    val metadata: RequestMetadata,
    val route: Route,
    val organisation: OrganisationId?,
    val deadlineMs: Long,
    /** True if another VM relayed the request to this one, which must not relay it again. */
    val isRelayed: Boolean = false,
) {
    /** Equal for requests of one organisation with the same method, host, path, query and body. */
    val fingerprint: RequestFingerprint by lazy {
        val request = exchange.request
        val head = "${request.method} ${route.host}${request.uri}\n"
        RequestFingerprint.of(organisation ?: OrganisationId(""), head.toByteArray() + request.body)
    }
    var attempts = Attempts()

    /** Outcome of the last attempt that failed. */
    var lastOutcome: AttemptOutcome? = null

    /** Monotonic time at which the last attempt was sent. */
    var sentAtMs = 0L
    var usageRecorded = false

    /** True if a target's response was received completely. */
    var responseCompleted = false

    /** Run of the last attempt that was sent to a target. */
    var lastRun: Run? = null
    val tried = HashSet<TargetId>()

    /** Peers to which the request was relayed. */
    val triedPeers = HashSet<VmId>()
    val stream = StreamProgress()

    /** True if the caller resumes a stream that an earlier request began. */
    val resumesStream: Boolean
        get() = route.kind == RouteKind.STREAMING && (metadata.resumes != null || metadata.lastEventId != null)

    /** Id of the stream that the response belongs to; null if the caller named none. */
    val streamId: StreamId? get() = (if (resumesStream) metadata.resumes else metadata.requestId)?.let(::StreamId)

    /** Id of the last event that the caller has, of this response or the one it resumes; null if there is none. */
    val lastEventId: Long? get() = stream.lastEventId ?: metadata.lastEventId

    /** This call before its first attempt, with a deadline of [latestMs] at most. */
    fun endingBy(latestMs: Long) =
        ForwardedCall(exchange, metadata, route, organisation, minOf(deadlineMs, latestMs), isRelayed)

    /** Where a request that is sent on resumes the stream; null if it does not resume one. */
    fun resumption(): Resumption? {
        val after = lastEventId ?: return null
        return streamId?.let { Resumption(it, after) }
    }

    /** True if the response has begun and can't be resumed on another target. */
    val mustAbortOnFailure: Boolean get() = exchange.hasBegun && !route.isResumable
}
