/*
 * Opens client connections.
 */
package io.guavashore.net

import io.guavashore.api.Endpoint
import io.netty.handler.codec.http.HttpClientCodec

/** Opens connections to servers on the process's loop. */
class HttpDialer(
    private val loop: ProcessLoop,
) {
    /** Connects within [timeoutMs]; fails with [ExchangeFailure.NotConnected]. */
    suspend fun connect(
        endpoint: Endpoint,
        timeoutMs: Long,
    ): HttpConnection {
        val connection = HttpConnection()
        dial(loop, endpoint, timeoutMs) { listOf(HttpClientCodec(), connection) }
        return connection
    }
}
