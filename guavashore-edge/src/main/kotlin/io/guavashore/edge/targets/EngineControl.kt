/*
 * Asks engines for reports and sends them orders.
 */
package io.guavashore.edge.targets

import io.github.oshai.kotlinlogging.KotlinLogging
import io.guavashore.edge.declared.TargetEntry
import io.guavashore.net.HttpResponseMessage
import io.guavashore.net.HttpConnection
import io.guavashore.net.HttpRequestMessage
import kotlinx.coroutines.withTimeoutOrNull

private val log = KotlinLogging.logger {}

/** Control calls to engines; they fail with [io.guavashore.net.ExchangeFailure] if the connection does. */
class EngineControl(
    private val connections: TargetConnectionPool,
    private val protocol: TargetProtocol,
) {
    /** State of the engine, or null if it did not answer in time or not readably. */
    suspend fun report(engine: TargetEntry): EngineReport? =
        exchange(
            engine,
            protocol.control.reportRequest(engine.id),
            REPORT_TIMEOUT_MS,
        )?.let { protocol.control.report(it.body) }

    /**
     * Sends [order] if [mayOrder] holds at that moment; returns the status of the answer, or null if there was none:
     * the order may still be carried out.
     */
    suspend fun order(
        engine: TargetEntry,
        order: WeightOrder,
        mayOrder: () -> Boolean,
    ): Int? = exchange(engine, protocol.control.order(engine.id, order), ORDER_TIMEOUT_MS, mayOrder)?.status

    private suspend fun exchange(
        engine: TargetEntry,
        message: HttpRequestMessage,
        timeoutMs: Long,
        maySend: () -> Boolean = { true },
    ): HttpResponseMessage? {
        val connection = connections.take(engine)
        try {
            if (!maySend()) {
                log.warn { "not sent, the right to it has run out: engine=${engine.id} path=${message.path}" }
                return null
            }
            connection.send(message)
            return withTimeoutOrNull(timeoutMs) { answer(engine, connection) }
        } finally {
            connections.release(engine.id, connection)
        }
    }

    /** The next answer on [connection], unless it is a late copy of one to a request with an id. */
    private suspend fun answer(
        engine: TargetEntry,
        connection: HttpConnection,
    ): HttpResponseMessage? {
        val head = connection.head()
        val foreign = protocol.metadata(head).requestId
        if (foreign == null) return HttpResponseMessage(head.status, head.headers, connection.readBody(MOST_REPORT_BYTES))
        log.warn { "answer of another request, connection closed: engine=${engine.id} request=$foreign" }
        connection.close()
        return null
    }

    private companion object {
        /** Answers to both come within milliseconds unless the engine or the link to it is in trouble. */
        const val ORDER_TIMEOUT_MS = 800L
        const val REPORT_TIMEOUT_MS = 500L
        const val MOST_REPORT_BYTES = 1_000_000
    }
}
