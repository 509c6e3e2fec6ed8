/*
 * Forwards requests through another VM while this VM can't reach any target. The other VM handles them like requests of
 * its own callers, except that it does not pass them on again.
 */
package io.guavashore.edge.forward

import io.github.oshai.kotlinlogging.KotlinLogging
import io.guavashore.api.Endpoint
import io.guavashore.api.MonotonicClock
import io.guavashore.api.VmId
import io.guavashore.api.ZoneId
import io.guavashore.edge.declared.RouteKind
import io.guavashore.edge.front.CallerProtocol
import io.guavashore.edge.peers.Heartbeat
import io.guavashore.edge.targets.ConnectionPool
import io.guavashore.edge.targets.TargetProtocol
import io.guavashore.edge.targets.receiveHead
import io.guavashore.net.ExchangeFailure
import io.guavashore.net.HttpConnection
import io.guavashore.net.ResponseHead
import kotlinx.coroutines.withTimeoutOrNull

private val log = KotlinLogging.logger {}

/** VM that reaches targets; [endpoint] accepts relayed requests. */
data class RelayPeer(
    val vm: VmId,
    val endpoint: Endpoint,
    val isInOwnZone: Boolean,
)

/** Relay of one VM. Not thread-safe. */
class PeerRelay(
    private val peers: () -> List<RelayPeer>,
    private val connections: ConnectionPool<VmId>,
    private val callers: CallerProtocol,
    private val targets: TargetProtocol,
    private val clock: MonotonicClock,
) {
    private val inFlight = HashMap<VmId, Int>()
    private val streams = StreamForwarder(targets, { _, _, _ -> }, clock)

    /** Outcome of a relayed attempt; [isFinal] is true if the peer has made all attempts that the route allows. */
    class Result(
        val outcome: AttemptOutcome?,
        val isFinal: Boolean = false,
    )

    /**
     * Relays [call]. The outcome is null once the response to the caller has ended. Returns null if no peer that the
     * call has not tried reaches targets.
     */
    suspend fun attempt(call: ForwardedCall): Result? {
        val peer = choose(call) ?: return null
        call.triedPeers += peer.vm
        val connection =
            try {
                connections.take(
                    peer.vm,
                    peer.endpoint,
                    call.metadata.requestId,
                    forceNew = call.route.kind != RouteKind.SAFE,
                )
            } catch (e: ExchangeFailure.NotConnected) {
                log.info { "peer not reached: request=${call.metadata.requestId} peer=${peer.vm} cause=${e.message}" }
                return Result(AttemptOutcome.NOT_SENT)
            }
        val leftMs = call.deadlineMs - clock()
        log.info { "request relayed: request=${call.metadata.requestId} peer=${peer.vm} left_ms=$leftMs" }
        inFlight.merge(peer.vm, 1, Int::plus)
        try {
            val request = callers.relayedRequest(call.exchange.request, leftMs, call.resumption())
            connection.send(request, call.metadata.requestId)
            return withTimeoutOrNull(leftMs.coerceAtLeast(1)) { handleResponse(call, peer.vm, connection) }
                ?: Result(interrupted(call))
        } catch (e: ExchangeFailure) {
            log.info {
                "relayed response interrupted: request=${call.metadata.requestId} peer=${peer.vm} cause=${e.message}"
            }
            return Result(interrupted(call))
        } finally {
            inFlight.computeIfPresent(peer.vm) { _, count -> if (count <= 1) null else count - 1 }
            connections.release(peer.vm, connection)
        }
    }

    private fun choose(call: ForwardedCall): RelayPeer? =
        peers()
            .filter { it.vm !in call.triedPeers }
            .shuffled()
            .minWithOrNull(compareBy({ inFlight[it.vm] ?: 0 }, { !it.isInOwnZone }))

    private suspend fun handleResponse(
        call: ForwardedCall,
        peer: VmId,
        connection: HttpConnection,
    ): Result {
        val response = connection.receiveHead("peer=$peer", targets.metadata) ?: return Result(interrupted(call))
        val (head, metadata) = response
        if (!metadata.isGenuine) return handleRefusal(call, head, connection)
        val sender = ResponseSender.Peer(peer)
        if (call.route.kind == RouteKind.STREAMING && head.status < FIRST_ERROR_STATUS) {
            val outcome = streams.forward(call, sender, response, connection)
            return Result(if (outcome != null && call.mustAbortOnFailure) interrupted(call) else outcome)
        }
        if (call.exchange.hasBegun) {
            log.info { "relayed stream does not go on: request=${call.metadata.requestId} status=${head.status}" }
            connection.close()
            return Result(interrupted(call))
        }
        val body = connection.readBody(MAX_BUFFERED_BYTES)
        call.responseCompleted = true
        call.passOn(response, sender, targets.responseHeaders(head), body)
        return Result(null)
    }

    /** Response of the peer itself. A 4xx or 503 promises that the request has not run; it may have after any other. */
    private suspend fun handleRefusal(
        call: ForwardedCall,
        head: ResponseHead,
        connection: HttpConnection,
    ): Result {
        connection.readBody(MAX_ERROR_BYTES)
        log.info { "relayed request refused: request=${call.metadata.requestId} status=${head.status}" }
        val mayHaveRun = head.status >= FIRST_SERVER_ERROR_STATUS && head.status != UNAVAILABLE
        if (!mayHaveRun) return Result(AttemptOutcome.NOT_RUN)
        return Result(interrupted(call), isFinal = true)
    }

    private fun interrupted(call: ForwardedCall): AttemptOutcome? {
        if (!call.mustAbortOnFailure) return AttemptOutcome.UNCERTAIN
        call.exchange.abort()
        return null
    }

    private companion object {
        const val FIRST_ERROR_STATUS = 400
        const val FIRST_SERVER_ERROR_STATUS = 500
        const val UNAVAILABLE = 503
        const val MAX_BUFFERED_BYTES = 8_000_000
        const val MAX_ERROR_BYTES = 65_536
    }
}

/** The [alive] peers that reach targets and accept relayed requests, as seen from [ownZone]. */
internal fun relayPeers(
    alive: List<Heartbeat>,
    ownZone: ZoneId,
): List<RelayPeer> =
    alive.filter { it.reachesTargets && !it.stopping }.mapNotNull { peer ->
        val endpoint = peer.vmRecord.relay?.let(Endpoint::parseOrNull) ?: return@mapNotNull null
        RelayPeer(peer.vmRecord.vm, endpoint, isInOwnZone = peer.vmRecord.zone == ownZone)
    }
