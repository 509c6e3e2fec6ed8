/*
 * Asks engines for reports and sends them orders.
 */
package io.guavashore.edge.targets

import io.guavashore.edge.declared.TargetEntry
import io.guavashore.net.HttpAnswer
import io.guavashore.net.HttpMessage
import kotlinx.coroutines.withTimeoutOrNull

/** Control calls to engines; they fail with [io.guavashore.net.ExchangeFailure] if the connection does. */
class EngineControl(
    private val connections: TargetConnections,
    private val protocol: TargetProtocol,
) {
    /** State of the engine, or null if it did not answer in time or not readably. */
    suspend fun report(engine: TargetEntry): EngineReport? =
        exchange(engine, protocol.reportRequest(engine.id), REPORT_TIMEOUT_MS)?.let { protocol.report(it.body) }

    /**
     * Sends [order]; returns the status of the answer, or null if there was none: the order may still be carried out.
     */
    suspend fun order(
        engine: TargetEntry,
        order: WeightOrder,
    ): Int? = exchange(engine, protocol.order(engine.id, order), ORDER_TIMEOUT_MS)?.status

    private suspend fun exchange(
        engine: TargetEntry,
        message: HttpMessage,
        timeoutMs: Long,
    ): HttpAnswer? {
        val connection = connections.take(engine)
        try {
            connection.send(message)
            return withTimeoutOrNull(timeoutMs) { connection.wholeAnswer(MOST_REPORT_BYTES) }
        } finally {
            connections.giveBack(engine.id, connection)
        }
    }

    private companion object {
        /** Answers to both come within milliseconds unless the engine or the link to it is in trouble. */
        const val ORDER_TIMEOUT_MS = 800L
        const val REPORT_TIMEOUT_MS = 500L
        const val MOST_REPORT_BYTES = 1_000_000
    }
}
