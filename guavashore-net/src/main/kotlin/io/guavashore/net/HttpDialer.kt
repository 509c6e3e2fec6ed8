/*
 * Opens client connections.
 */
package io.guavashore.net

import io.guavashore.api.Endpoint
import io.netty.handler.codec.http.HttpClientCodec

/** Opens connections to servers on the process's loop; answers that are read whole share [heldAnswers]. */
class HttpDialer(
    private val loop: ProcessLoop,
    private val heldAnswers: ByteBudget = ByteBudget(MOST_HELD_BYTES),
) {
    /** Connects within [timeoutMs]; fails with [ExchangeFailure.NotConnected]. */
    suspend fun connect(
        endpoint: Endpoint,
        timeoutMs: Long,
    ): HttpConnection {
        val connection = HttpConnection(heldAnswers)
        dial(loop, endpoint, timeoutMs) { listOf(ArrivalCounter(connection), HttpClientCodec(), connection) }
        return connection
    }

    private companion object {
        /** Answers held at once; a fifth of the heap of the smallest VM. */
        const val MOST_HELD_BYTES = 24_000_000L
    }
}
