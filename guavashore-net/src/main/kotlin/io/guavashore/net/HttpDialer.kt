/*
 * Opens HTTP client connections.
 */
package io.guavashore.net

import io.guavashore.api.Endpoint
import io.netty.handler.codec.http.HttpClientCodec

/** Connects to a server within `timeoutMs`; throws [ExchangeFailure.NotConnected] on failure. */
typealias Dial = suspend (endpoint: Endpoint, timeoutMs: Long) -> HttpConnection

/** Opens connections to servers on [loop]; responses that are read completely share [responseBudget]. */
class HttpDialer(
    private val loop: ProcessLoop,
    private val responseBudget: ByteBudget = ByteBudget(MAX_BUFFERED_BYTES),
) {
    /** Connects within [timeoutMs]; throws [ExchangeFailure.NotConnected] on failure. */
    suspend fun connect(
        endpoint: Endpoint,
        timeoutMs: Long,
    ): HttpConnection {
        val connection = HttpConnection(responseBudget)
        dial(loop, endpoint, timeoutMs) { listOf(UndecodedByteCounter(connection), HttpClientCodec(), connection) }
        return connection
    }

    private companion object {
        /** Limit on the response bodies buffered at the same time: a fifth of the heap of the smallest VM. */
        const val MAX_BUFFERED_BYTES = 24_000_000L
    }
}
