/*
 * HTTP client for callers on any thread, on an event loop of its own. Each exchange has a connection of its own, so
 * that a late duplicate of a response is never taken for the response to another request.
 */
package io.guavashore.net

import io.github.oshai.kotlinlogging.KotlinLogging
import io.guavashore.api.Endpoint
import kotlinx.coroutines.Job
import kotlinx.coroutines.withContext

private val log = KotlinLogging.logger {}

/**
 * Client of servers. It follows no redirects and never repeats a request.
 *
 * @param connectTimeoutMs maximum time for opening a connection
 */
class SingleExchangeClient(
    private val connectTimeoutMs: Long = 500,
) : AutoCloseable {
    private val loop = ProcessLoop { log.error(it) { "client of servers failed unexpectedly" } }
    private val onLoop = loop.scope.coroutineContext.minusKey(Job)
    private val dialer = HttpDialer(loop)

    /**
     * Sends [request] to [endpoint] and returns what [read] returns for the connection. [read] runs on the event loop.
     * The connection is closed on every path, and reset unless the complete response has been read.
     *
     * Throws [ExchangeFailure.NotConnected] if no byte was sent, and [ExchangeFailure.Broken] if the response is not
     * complete.
     */
    suspend fun <T> exchange(
        endpoint: Endpoint,
        request: HttpRequestMessage,
        read: suspend (HttpConnection) -> T,
    ): T =
        withContext(onLoop) {
            val connection = dialer.connect(endpoint, connectTimeoutMs)
            try {
                connection.send(request)
                read(connection)
            } finally {
                connection.close()
            }
        }

    /** Sends [request] to [endpoint] and returns the complete response; its body has at most [maxBytes] bytes. */
    suspend fun request(
        endpoint: Endpoint,
        request: HttpRequestMessage,
        maxBytes: Int = DEFAULT_MAX_BYTES,
    ): HttpResponseMessage = exchange(endpoint, request) { it.readResponse(maxBytes) }

    override fun close() = loop.close()

    private companion object {
        const val DEFAULT_MAX_BYTES = 1_048_576
    }
}
