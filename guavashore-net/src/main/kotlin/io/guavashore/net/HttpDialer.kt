/*
 * Opens HTTP client connections.
 */
package io.guavashore.net

import io.guavashore.api.Endpoint
import io.netty.channel.ChannelHandler
import io.netty.handler.codec.http.HttpRequestEncoder

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
        dial(loop, endpoint, timeoutMs) { handlersOf(connection) }
        return connection
    }

    internal companion object {
        fun handlersOf(connection: HttpConnection): List<ChannelHandler> =
            listOf(
                ResponseBoundaryHandler(connection),
                UndecodedByteCounter(connection),
                HttpRequestEncoder(),
                ResponseDecoder(connection::requestMethod),
                connection,
            )

        /** Limit on the response bodies buffered at the same time: a fifth of the heap of the smallest VM. */
        private const val MAX_BUFFERED_BYTES = 24_000_000L
    }
}
