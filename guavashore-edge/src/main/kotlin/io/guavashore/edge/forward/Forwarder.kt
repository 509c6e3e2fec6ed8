/*
 * Forwards callers' requests to targets, and retries on other targets where the route allows it.
 */
package io.guavashore.edge.forward

import io.github.oshai.kotlinlogging.KotlinLogging
import io.guavashore.api.MonotonicClock
import io.guavashore.api.OrganisationId
import io.guavashore.edge.declared.RouteKind
import io.guavashore.edge.declared.TargetEntry
import io.guavashore.edge.limits.OnNoLimitNamed
import io.guavashore.edge.limits.RateStatement
import io.guavashore.edge.streams.StreamId
import io.guavashore.edge.streams.StreamOrigin
import io.guavashore.edge.suspects.Guarded
import io.guavashore.edge.suspects.SuspectTracking
import io.guavashore.edge.suspects.Trial
import io.guavashore.edge.targets.ForwardingContext
import io.guavashore.edge.targets.ProcessCheck
import io.guavashore.edge.targets.ReceivedResponse
import io.guavashore.edge.targets.TargetConnectionPool
import io.guavashore.edge.targets.TargetDirectory
import io.guavashore.edge.targets.TargetProtocol
import io.guavashore.net.ExchangeFailure
import io.guavashore.net.HttpConnection
import kotlinx.coroutines.withTimeoutOrNull

private val log = KotlinLogging.logger {}

/** Records that a request of an organisation began to run. */
typealias RecordUsage = (OrganisationId) -> Unit

/** Records the origin of a stream, which its caller may resume for [resumableForMs]; null if that is unknown. */
typealias RecordOrigin = (stream: StreamId, origin: StreamOrigin, resumableForMs: Long?) -> Unit

/**
 * Receives what responses of targets tell beyond the call: that a request ran, that a target has no limit, and where a
 * stream began.
 */
class ResponseObserver(
    val recordUsage: RecordUsage,
    val onNoLimitNamed: OnNoLimitNamed,
    val recordOrigin: RecordOrigin,
)

/** What a VM knows of targets and uses to reach them. */
class TargetAccess(
    val directory: TargetDirectory,
    val connections: TargetConnectionPool,
    val loads: TargetLoads,
    val processCheck: ProcessCheck,
)

/** Forwards the requests that callers send to one VM. Not thread-safe. */
class Forwarder(
    private val chooser: TargetChooser,
    private val relay: RelayWhileCutOff,
    access: TargetAccess,
    private val targets: TargetProtocol,
    private val errorResponder: ErrorResponder,
    private val suspects: SuspectTracking,
    private val observer: ResponseObserver,
    private val full: FullServices,
    private val clock: MonotonicClock,
) {
    private val directory = access.directory
    private val connections = access.connections
    private val loads = access.loads
    private val processCheck = access.processCheck
    private val streams = StreamForwarder(targets, observer.recordOrigin, clock)

    /** Returns once the response to the caller has been sent or aborted. */
    suspend fun forward(call: ForwardedCall) {
        while (true) {
            if (relay.isNeeded(call)) return forwardThroughPeers(call)
            val guarded = suspects.guard.run(call.fingerprint, call.deadlineMs) { trial -> step(call, trial) }
            if (guarded is Guarded.Refused) return refuseSuspect(call, guarded.retryAfterMs)
            if (!(guarded as Guarded.Ran).value) return
        }
    }

    /** Makes one attempt; returns true if another one may follow, false once the response to the caller has ended. */
    private suspend fun step(
        call: ForwardedCall,
        trial: Trial?,
    ): Boolean {
        if (full.isKnownFull(call)) {
            refuseFull(call, "all targets are known to be full", "known_full")
            return false
        }
        val choice = chooser.choose(call)
        if (choice !is TargetChoice.Chosen) {
            respondUnplaced(call, choice)
            return false
        }
        val target = choice.target
        if (!choice.permit.isValid()) {
            log.warn { "permit expired before use: request=${call.metadata.requestId} target=${target.id}" }
            return true
        }
        call.tried += target.id
        val outcome = attempt(call, choice, trial) ?: return false
        if (!proceed(call, outcome, "target=${target.id}")) return false
        call.lastRun?.awaitCheck()
        return true
    }

    /** Refuses a request that found no room at targets. */
    private fun refuseFull(
        call: ForwardedCall,
        message: String,
        reason: String,
    ) = errorResponder.refuse(call, UNAVAILABLE, message, full.retryAfterMs(call) ?: FULL_RETRY_AFTER_MS, reason)

    /** Refuses a request since equal ones have ended targets. */
    private fun refuseSuspect(
        call: ForwardedCall,
        retryAfterMs: Long,
    ) {
        if (call.attempts.mayHaveRun > 0) return errorResponder.fail(call, call.deadlineMs - clock())
        errorResponder.refuse(call, UNAVAILABLE, "targets ended while they ran this request", retryAfterMs, "suspect")
    }

    /** Relays [call] to peers until one of them has responded or no further attempt is allowed. */
    private suspend fun forwardThroughPeers(call: ForwardedCall) {
        while (true) {
            suspects.guard.refusedForMs(call.fingerprint)?.let { return refuseSuspect(call, it) }
            val result = relay.attempt(call) ?: return respondUnplaced(call, TargetChoice.NoTarget)
            val outcome = result.outcome ?: return errorResponder.count(call, "relayed")
            if (result.isFinal) return errorResponder.fail(call, call.deadlineMs - clock())
            if (!proceed(call, outcome, "peers=${call.triedPeers}")) return
        }
    }

    /** Records a failed attempt; returns true if another one may follow, false once the caller has got an error. */
    private fun proceed(
        call: ForwardedCall,
        outcome: AttemptOutcome,
        attempted: String,
    ): Boolean {
        call.attempts = call.attempts.after(outcome)
        call.lastOutcome = outcome
        val leftMs = call.deadlineMs - clock()
        val next = afterAttempt(call.route, call.attempts, outcome, leftMs)
        log.info {
            "attempt failed: request=${call.metadata.requestId} $attempted end=$outcome next=$next left_ms=$leftMs"
        }
        when (next) {
            NextStep.TRY_ANOTHER -> return true
            NextStep.REFUSE -> refuseFull(call, "all targets are full", "full")
            NextStep.FAIL -> errorResponder.fail(call, leftMs)
        }
        return false
    }

    /** Returns null once the response to the caller has ended, else the outcome of the failed attempt. */
    private suspend fun attempt(
        call: ForwardedCall,
        choice: TargetChoice.Chosen,
        trial: Trial?,
    ): AttemptOutcome? {
        val target = choice.target
        val connection =
            try {
                connections.take(target, call.metadata.requestId, forceNew = trial != null || needsNewConnection(call))
            } catch (e: ExchangeFailure.NotConnected) {
                log.info {
                    "target not reached: request=${call.metadata.requestId} target=${target.id} cause=${e.message}"
                }
                directory.recordFailure(target.id)
                relay.onTargetUnreachable()
                return AttemptOutcome.NOT_SENT
            }
        if (!isReady(call, choice, connection)) return AttemptOutcome.NOT_SENT
        val leftMs = call.deadlineMs - clock()
        if (leftMs <= 0) {
            connections.release(target.id, connection)
            return AttemptOutcome.NOT_SENT
        }
        loads.begin(target.id)
        val run = suspects.runs.begin(call.fingerprint, target, trial?.number, connection)
        trial?.run = run
        call.lastRun = run
        try {
            val timeoutMs = attemptTimeoutMs(call.route, call.attempts, leftMs)
            val context =
                ForwardingContext(
                    target.id,
                    call.organisation,
                    leftMs,
                    call.lastEventId,
                )
            call.sentAtMs = clock()
            connection.send(targets.forwardedRequest(call.exchange.request, context), call.metadata.requestId)
            return withTimeoutOrNull(timeoutMs) { CompletedAttempt(handleResponse(call, target, connection)) }
                .let { if (it == null) timedOut(call, target) else it.outcome }
                .also { if (call.responseCompleted || it == AttemptOutcome.NOT_RUN) run.isHarmless = true }
        } catch (e: ExchangeFailure) {
            directory.recordFailure(target.id)
            relay.onTargetUnreachable()
            log.info {
                "response interrupted: request=${call.metadata.requestId} target=${target.id} cause=${e.message}"
            }
            return if (call.mustAbortOnFailure) abort(call) else AttemptOutcome.UNCERTAIN
        } finally {
            loads.end(target.id)
            connections.release(target.id, connection)
            suspects.runs.end(run)
        }
    }

    /**
     * False if the call may no longer be sent, now that the connection is open and the process checked. The connection
     * is then released, also if the caller leaves during the check.
     */
    private suspend fun isReady(
        call: ForwardedCall,
        choice: TargetChoice.Chosen,
        connection: HttpConnection,
    ): Boolean {
        var isReady = false
        try {
            val needsNoCheck = call.route.kind != RouteKind.STREAMING
            isReady =
                maySend(choice) && (needsNoCheck || isListedProcess(call, choice.target, connection)) && maySend(choice)
            return isReady
        } finally {
            if (!isReady) connections.release(choice.target.id, connection)
        }
    }

    /** The permit may have expired, or the target's zone been evacuated. */
    private fun maySend(choice: TargetChoice.Chosen) = choice.permit.isValid() && !directory.isEvacuated(choice.target)

    /**
     * True for a request that may run once at most, and for one without an id: a late response to another such request
     * could not be told from the response to it.
     */
    private fun needsNewConnection(call: ForwardedCall) =
        call.route.kind != RouteKind.SAFE || call.metadata.requestId == null

    private suspend fun isListedProcess(
        call: ForwardedCall,
        target: TargetEntry,
        connection: HttpConnection,
    ): Boolean =
        try {
            processCheck.isListedProcess(target, connection, resumesStream = call.lastEventId != null)
        } catch (e: ExchangeFailure) {
            log.info { "target not checked: request=${call.metadata.requestId} target=${target.id} cause=${e.message}" }
            false
        }

    private suspend fun timedOut(
        call: ForwardedCall,
        target: TargetEntry,
    ): AttemptOutcome? {
        directory.recordFailure(target.id)
        relay.onTargetUnreachable()
        return if (call.mustAbortOnFailure) abort(call) else AttemptOutcome.UNCERTAIN
    }

    private fun abort(call: ForwardedCall): AttemptOutcome? {
        call.exchange.abort()
        return null
    }

    private suspend fun handleResponse(
        call: ForwardedCall,
        target: TargetEntry,
        connection: HttpConnection,
    ): AttemptOutcome? {
        val response =
            connections.receiveHead(target.id, connection) ?: return rejectResponse(call, target, connection)
        val (head, metadata) = response
        val isRefusal = metadata.notRun && head.status == UNAVAILABLE
        metadata.load?.let { loads.recordLoad(target, it, clock(), isRefusal) }
        if (metadata.notRun || head.status == MISDIRECTED) return handleNotRun(target, head.status, connection)
        recordUsageOnce(call)
        if (!metadata.isGenuine) return rejectResponse(call, target, connection)
        if (metadata.rate == RateStatement.Unlimited) observer.onNoLimitNamed(target.id, connection.sentAtNs)
        val isStream = call.route.kind == RouteKind.STREAMING && head.status < FIRST_ERROR_STATUS
        return when {
            isStream -> forwardStream(call, target, response, connection)
            call.exchange.hasBegun -> rejectResponse(call, target, connection)
            else -> forwardBuffered(call, target, response, connection)
        }
    }

    private suspend fun forwardStream(
        call: ForwardedCall,
        target: TargetEntry,
        response: ReceivedResponse,
        connection: HttpConnection,
    ): AttemptOutcome? {
        val outcome = streams.forward(call, ResponseSender.Target(target), response, connection)
        if (outcome == null) onCompleted(call)
        return if (outcome != null && call.mustAbortOnFailure) abort(call) else outcome
    }

    private suspend fun forwardBuffered(
        call: ForwardedCall,
        target: TargetEntry,
        response: ReceivedResponse,
        connection: HttpConnection,
    ): AttemptOutcome? {
        val head = response.head
        val body = connection.readBody(MAX_BUFFERED_BYTES)
        onCompleted(call)
        val retryable = head.status >= FIRST_SERVER_ERROR_STATUS && call.route.kind == RouteKind.SAFE
        if (retryable && call.attempts.mayHaveRun + 1 < call.route.maxAttempts) {
            directory.recordFailure(target.id)
            return AttemptOutcome.UNCERTAIN
        }
        directory.recordSuccess(target.id)
        full.onCompleted(call.route, target, clock() - call.sentAtMs)
        call.passOn(response, ResponseSender.Target(target), targets.responseHeaders(head), body)
        errorResponder.count(call, "answered")
        return null
    }

    private fun onCompleted(call: ForwardedCall) {
        call.responseCompleted = true
        suspects.onCompleted(call.fingerprint)
    }

    private suspend fun handleNotRun(
        target: TargetEntry,
        status: Int,
        connection: HttpConnection,
    ): AttemptOutcome {
        connection.readBody(MAX_ERROR_BYTES)
        if (status == MISDIRECTED) directory.recordFailure(target.id)
        return AttemptOutcome.NOT_RUN
    }

    /** Closes the connection: the response is not the target's response to this request, and may never end. */
    private fun rejectResponse(
        call: ForwardedCall,
        target: TargetEntry,
        connection: HttpConnection,
    ): AttemptOutcome {
        log.info { "response rejected: request=${call.metadata.requestId} target=${target.id}" }
        directory.recordFailure(target.id)
        connection.close()
        return AttemptOutcome.UNCERTAIN
    }

    private fun recordUsageOnce(call: ForwardedCall) {
        if (call.usageRecorded) return
        call.usageRecorded = true
        call.organisation?.let(observer.recordUsage)
    }

    private fun respondUnplaced(
        call: ForwardedCall,
        choice: TargetChoice,
    ) {
        if (call.attempts.mayHaveRun > 0) return errorResponder.fail(call, call.deadlineMs - clock())
        if (choice is TargetChoice.RateLimited) {
            val message = "all targets limit their requests"
            return errorResponder.refuse(call, UNAVAILABLE, message, choice.retryAfterMs, "rate_limited")
        }
        if (choice is TargetChoice.NoTarget && full.refused(call)) {
            return refuseFull(call, "all targets are full", "full")
        }
        val reason =
            when {
                choice is TargetChoice.UnknownOrigin -> "the software version that began the stream is not known"
                call.stream.origin != null -> "no target runs ${call.stream.origin}, which began the stream"
                else -> "no target of the service is available"
            }
        val zones = directory.evacuatedZonesOf(call.route.backends.mapTo(HashSet()) { it.service })
        val evacuated = if (zones.isEmpty()) "" else ", zones under evacuation: ${zones.sorted().joinToString()}"
        errorResponder.refuse(call, UNAVAILABLE, reason + evacuated, NO_TARGET_RETRY_AFTER_MS, "no_target")
    }

    /** Wraps the result of an attempt, to distinguish a null outcome from a timeout. */
    private class CompletedAttempt(
        val outcome: AttemptOutcome?,
    )

    private companion object {
        const val FIRST_ERROR_STATUS = 400
        const val FIRST_SERVER_ERROR_STATUS = 500
        const val MISDIRECTED = 421
        const val UNAVAILABLE = 503

        /** Responses are buffered completely up to this size, so that an interrupted one can be requested again. */
        const val MAX_BUFFERED_BYTES = 8_000_000
        const val MAX_ERROR_BYTES = 65_536

        /** A full target usually frees a slot within the duration of one request. */
        const val FULL_RETRY_AFTER_MS = 60L

        /** Targets whose entry lapsed usually register again within about a second. */
        const val NO_TARGET_RETRY_AFTER_MS = 300L
    }
}
