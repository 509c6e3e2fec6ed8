/*
 * Requests reports from engines and sends orders to them.
 */
package io.guavashore.edge.targets

import io.github.oshai.kotlinlogging.KotlinLogging
import io.guavashore.api.TargetId
import io.guavashore.edge.declared.TargetEntry
import io.guavashore.edge.limits.Permit
import io.guavashore.net.HttpConnection
import io.guavashore.net.HttpRequestMessage
import io.guavashore.net.HttpResponseMessage
import kotlinx.coroutines.withTimeoutOrNull

private val log = KotlinLogging.logger {}

/** Suspends until a call may be sent to a target; null if that takes too long. */
typealias AwaitPermit = suspend (TargetId) -> Permit?

/** Control calls to engines. They throw [io.guavashore.net.ExchangeFailure] if the connection fails. */
class EngineControl(
    private val connections: TargetConnectionPool,
    private val protocol: TargetProtocol,
    private val isEvacuated: (TargetEntry) -> Boolean = { false },
    private val awaitPermit: AwaitPermit = { Permit(it) },
) {
    /** Returns the state of the engine; null if it did not respond in time or its response can't be decoded. */
    suspend fun report(engine: TargetEntry): EngineReport? =
        exchange(
            engine,
            protocol.control.reportRequest(engine.id),
            REPORT_TIMEOUT_MS,
        )?.let { reportIn(it, engine) }

    /** Like [report], over [connection], which was taken for another request. Sent without a permit. */
    suspend fun reportOver(
        engine: TargetEntry,
        connection: HttpConnection,
    ): EngineReport? {
        connection.send(protocol.control.reportRequest(engine.id))
        val response = withTimeoutOrNull(REPORT_TIMEOUT_MS) { receiveResponse(engine, connection) }
        return response?.let { reportIn(it, engine) }
    }

    private fun reportIn(
        response: HttpResponseMessage,
        engine: TargetEntry,
    ): EngineReport? {
        val status = response.status
        if (status != OK) log.info { "report with an error status: engine=${engine.id} status=$status" }
        return protocol.control.report(response.body)
    }

    /**
     * Sends [order] if [mayOrder] is true just before sending. Returns the status of the response; null if there was
     * none, in which case the engine may still carry out the order.
     *
     * Responses to control calls state no request id, so a late duplicate of one could be taken for the response to the
     * order. Each order is therefore sent on a new connection.
     */
    suspend fun order(
        engine: TargetEntry,
        order: WeightOrder,
        mayOrder: () -> Boolean,
    ): Int? =
        exchange(engine, protocol.control.order(engine.id, order), ORDER_TIMEOUT_MS, forceNew = true, mayOrder)?.status

    private suspend fun exchange(
        engine: TargetEntry,
        message: HttpRequestMessage,
        timeoutMs: Long,
        forceNew: Boolean = false,
        maySend: () -> Boolean = { true },
    ): HttpResponseMessage? {
        val permit = awaitPermit(engine.id)
        if (permit == null) {
            log.info { "control call not sent, no room within the limit: engine=${engine.id} path=${message.path}" }
            return null
        }
        val connection = connections.take(engine, requestId = null, forceNew)
        try {
            if (isEvacuated(engine)) {
                log.info { "control call not sent, zone under evacuation: engine=${engine.id} path=${message.path}" }
                return null
            }
            if (!maySend() || !permit.isValid()) {
                log.warn { "control call not sent, lease or permit expired: engine=${engine.id} path=${message.path}" }
                return null
            }
            connection.send(message)
            // Only orders, which change the engine: reports are requested several times a second.
            if (forceNew) log.info { "order sent: engine=${engine.id} ${connection.logFields}" }
            return withTimeoutOrNull(timeoutMs) { receiveResponse(engine, connection) }
        } finally {
            connections.release(engine.id, connection)
        }
    }

    private suspend fun receiveResponse(
        engine: TargetEntry,
        connection: HttpConnection,
    ): HttpResponseMessage? {
        val head = connections.receiveHead(engine.id, connection)?.head ?: return null
        return HttpResponseMessage(head.status, head.headers, connection.readBody(MAX_REPORT_BYTES))
    }

    private companion object {
        const val OK = 200

        /** Both kinds of call are answered within milliseconds unless the engine or the link to it has a problem. */
        const val ORDER_TIMEOUT_MS = 800L
        const val REPORT_TIMEOUT_MS = 500L
        const val MAX_REPORT_BYTES = 1_000_000
    }
}
