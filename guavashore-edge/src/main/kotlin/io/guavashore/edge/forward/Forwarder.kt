/*
 * Passes callers' requests on to targets.
 */
package io.guavashore.edge.forward

import io.github.oshai.kotlinlogging.KotlinLogging
import io.guavashore.api.MonotonicClock
import io.guavashore.api.OrganisationId
import io.guavashore.api.TargetId
import io.guavashore.api.ZoneId
import io.guavashore.edge.declared.Route
import io.guavashore.edge.declared.RouteKind
import io.guavashore.edge.declared.TargetEntry
import io.guavashore.edge.front.RequestMetadata
import io.guavashore.edge.targets.ForwardingContext
import io.guavashore.edge.targets.TargetConnectionPool
import io.guavashore.edge.targets.TargetDirectory
import io.guavashore.edge.targets.TargetProtocol
import io.guavashore.net.ResponseHead
import io.guavashore.net.ExchangeFailure
import io.guavashore.net.HttpResponseMessage
import io.guavashore.net.HttpConnection
import io.guavashore.net.HttpExchange
import kotlinx.coroutines.withTimeoutOrNull

private val log = KotlinLogging.logger {}

/** One caller's request on its way. Deadlines are on the monotonic clock. */
class ForwardedCall(
    val exchange: HttpExchange,
    val metadata: RequestMetadata,
    val route: Route,
    val organisation: OrganisationId?,
    val deadlineMs: Long,
) {
    var attempts = Attempts()
    var began = false

    /** The last attempt ended with its connection. */
    var brokeOff = false

    /** A target's answer came to its end. */
    var wasServed = false
    val tried = HashSet<TargetId>()
    val stream = StreamProgress()

    /** True if the answer has begun and no other target may go on with it. */
    val isCutOff: Boolean get() = exchange.hasBegun && !route.isResumable
}

/** Tells that a request of an organisation began to run. */
typealias CountUse = (OrganisationId) -> Unit

/** Forwarder of one VM. */
class Forwarder(
    private val zone: ZoneId,
    private val directory: TargetDirectory,
    private val connections: TargetConnectionPool,
    private val loads: TargetLoads,
    private val targets: TargetProtocol,
    private val errorResponder: ErrorResponder,
    private val poison: PoisonList,
    private val recordUsage: CountUse,
    private val clock: MonotonicClock,
) {
    private val streams = StreamForwarder(targets, clock)

    suspend fun forward(call: ForwardedCall) {
        val fingerprint = poison.fingerprint(call)
        if (poison.isPoison(fingerprint)) {
            return errorResponder.refuse(call, UNAVAILABLE, "this request has crashed several targets", null)
        }
        while (true) {
            val target = choose(call) ?: return noTarget(call)
            call.tried += target.id
            val end = attempt(call, target)
            if (call.brokeOff) poison.suspect(fingerprint, target.id)
            if (call.wasServed) poison.served(fingerprint)
            if (end == null) return
            call.attempts = call.attempts.after(end)
            val leftMs = call.deadlineMs - clock()
            val next = afterAttempt(call.route, call.attempts, end, leftMs)
            log.info {
                "attempt failed: request=${call.metadata.requestId} target=${target.id} end=$end next=$next " +
                    "left_ms=$leftMs"
            }
            when (next) {
                NextStep.TRY_ANOTHER -> Unit
                NextStep.REFUSE -> return errorResponder.refuse(call, UNAVAILABLE, "all targets are full", FULL_RETRY_AFTER_MS)
                NextStep.FAIL -> return errorResponder.fail(call, leftMs)
            }
        }
    }

    private fun choose(call: ForwardedCall): TargetEntry? {
        val candidates =
            call.route.backends
                .filter { it.weight > 0 }
                .flatMap { directory.usable(it.service) }
        val fresh = candidates.filter { it.id !in call.tried }
        val chosenService = loads.serviceFor(call.route, fresh) ?: return null
        val ofService = fresh.filter { it.service == chosenService }
        val healthy = ofService.filterNot { directory.isSuspect(it.id) }.ifEmpty { ofService }
        return loads.pick(healthy, zone)
    }

    /** Returns null once the caller has its answer, else how the attempt ended. */
    private suspend fun attempt(
        call: ForwardedCall,
        target: TargetEntry,
    ): AttemptEnd? {
        val atMostOnce = call.route.kind != RouteKind.SAFE
        call.brokeOff = false
        val connection =
            try {
                connections.take(target, fresh = atMostOnce)
            } catch (e: ExchangeFailure.NotConnected) {
                log.info {
                    "target not reached: request=${call.metadata.requestId} target=${target.id} cause=${e.message}"
                }
                directory.recordFailure(target.id)
                return AttemptEnd.NOT_SENT
            }
        val leftMs = call.deadlineMs - clock()
        if (leftMs <= 0) {
            connections.release(target.id, connection)
            return AttemptEnd.NOT_SENT
        }
        loads.begin(target.id)
        try {
            val timeMs = attemptTimeMs(call.route, call.attempts, leftMs)
            val terms = ForwardingContext(target.id, call.organisation, leftMs, call.stream.lastEventId ?: call.metadata.lastEventId)
            connection.send(targets.forwardedRequest(call.exchange.request, terms))
            return withTimeoutOrNull(timeMs) { Outcome(answer(call, target, connection)) }
                .let { if (it == null) timedOut(call, target) else it.end }
        } catch (e: ExchangeFailure) {
            directory.recordFailure(target.id)
            call.brokeOff = true
            log.info { "answer broke off: request=${call.metadata.requestId} target=${target.id} cause=${e.message}" }
            return if (call.isCutOff) abort(call) else AttemptEnd.UNCERTAIN
        } finally {
            loads.end(target.id)
            connections.release(target.id, connection)
        }
    }

    private fun timedOut(
        call: ForwardedCall,
        target: TargetEntry,
    ): AttemptEnd? {
        directory.recordFailure(target.id)
        return if (call.isCutOff) abort(call) else AttemptEnd.UNCERTAIN
    }

    private fun abort(call: ForwardedCall): AttemptEnd? {
        call.exchange.abort()
        return null
    }

    private suspend fun answer(
        call: ForwardedCall,
        target: TargetEntry,
        connection: HttpConnection,
    ): AttemptEnd? {
        val head = connection.head()
        val metadata = targets.metadata(head)
        metadata.load?.let { loads.reported(target.id, it, clock()) }
        if (metadata.requestId != null && metadata.requestId != call.metadata.requestId) return foreign(call, target, connection)
        if (metadata.notRun || head.status == MISDIRECTED) return notRun(target, head, connection)
        countBegin(call)
        if (!metadata.isGenuine) return foreign(call, target, connection)
        val isStream = call.route.kind == RouteKind.STREAMING && head.status < FIRST_ERROR
        return when {
            isStream -> passStream(call, head, connection)
            call.exchange.hasBegun -> foreign(call, target, connection)
            else -> passWhole(call, target, head, connection)
        }
    }

    private suspend fun passStream(
        call: ForwardedCall,
        head: ResponseHead,
        connection: HttpConnection,
    ): AttemptEnd? {
        val end = streams.pass(call, head, connection)
        call.wasServed = end == null
        return if (end != null && call.isCutOff) abort(call) else end
    }

    private suspend fun passWhole(
        call: ForwardedCall,
        target: TargetEntry,
        head: ResponseHead,
        connection: HttpConnection,
    ): AttemptEnd? {
        val body = connection.readBody(MOST_WHOLE_BYTES)
        val retryable = head.status >= FIRST_SERVER_ERROR && call.route.kind == RouteKind.SAFE
        if (retryable && call.attempts.mayHaveRun + 1 < call.route.maxAttempts) {
            directory.recordFailure(target.id)
            return AttemptEnd.UNCERTAIN
        }
        directory.recordSuccess(target.id)
        call.wasServed = true
        call.exchange.respond(HttpResponseMessage(head.status, targets.responseHeaders(head), body))
        errorResponder.count(call, "answered")
        return null
    }

    private suspend fun notRun(
        target: TargetEntry,
        head: ResponseHead,
        connection: HttpConnection,
    ): AttemptEnd {
        connection.discardBody(MOST_ERROR_BYTES)
        if (head.status == MISDIRECTED) directory.recordFailure(target.id)
        return AttemptEnd.NOT_RUN
    }

    /** The answer is not the target's own to this request, and may have no end. */
    private fun foreign(
        call: ForwardedCall,
        target: TargetEntry,
        connection: HttpConnection,
    ): AttemptEnd {
        log.info { "answer of no use: request=${call.metadata.requestId} target=${target.id}" }
        directory.recordFailure(target.id)
        connection.close()
        return AttemptEnd.UNCERTAIN
    }

    private fun countBegin(call: ForwardedCall) {
        if (call.began) return
        call.began = true
        call.organisation?.let(recordUsage)
    }

    private fun noTarget(call: ForwardedCall) {
        if (call.attempts.mayHaveRun > 0) return errorResponder.fail(call, call.deadlineMs - clock())
        errorResponder.refuse(call, UNAVAILABLE, "no target of the service is in reach", NO_TARGET_RETRY_AFTER_MS)
    }

    /** Distinguishes a finished attempt from a timeout. */
    private class Outcome(
        val end: AttemptEnd?,
    )

    private companion object {
        const val FIRST_ERROR = 400
        const val FIRST_SERVER_ERROR = 500
        const val MISDIRECTED = 421
        const val UNAVAILABLE = 503

        /** Answers up to this size are held until they are complete, so that a cut one can be asked for again. */
        const val MOST_WHOLE_BYTES = 8_000_000
        const val MOST_ERROR_BYTES = 65_536

        /** A full target frees a slot within about one piece of work. */
        const val FULL_RETRY_AFTER_MS = 60L

        /** Targets that lapsed are back within about a second. */
        const val NO_TARGET_RETRY_AFTER_MS = 300L
    }
}
