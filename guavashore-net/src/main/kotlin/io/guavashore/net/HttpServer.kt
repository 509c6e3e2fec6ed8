/*
 * HTTP server for callers.
 */
package io.guavashore.net

import io.guavashore.api.Endpoint
import io.netty.channel.Channel
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpResponseEncoder

/** Limits on what callers may send and how long they may take. */
data class CallerLimits(
    val headerBytes: Int = 16_384,
    val bodyBytes: Int = 33_554_432,
    val headerTimeoutMs: Long = 3_000,
    val idleTimeoutMs: Long = 15_000,
)

/** Handles one request; sends the response through the exchange. */
typealias ExchangeHandler = suspend (HttpExchange) -> Unit

/** Listens for callers. [limits] is called for each connection and each request, so changes apply without a restart. */
class HttpServer(
    private val loop: ProcessLoop,
    private val limits: () -> CallerLimits,
    private val handler: ExchangeHandler,
) {
    private val connections = HashSet<CallerConnection>()
    private val bodyBudget = ByteBudget(MAX_BUFFERED_BYTES)

    /** Number of requests that have been received but not answered yet. */
    val activeRequests: Int get() = connections.count { it.isActive }

    /** While true, each response carries `Connection: close`. */
    var isStopping = false
        private set

    /** Listens at [endpoint]; returns the bound address, with the actual port if the given one was 0. */
    suspend fun listen(endpoint: Endpoint): Endpoint = bind(loop, endpoint, ::initialize)

    /** Makes callers disconnect after their next response; idle connections stay open until [closeIdle]. */
    fun beginStop() {
        isStopping = true
    }

    /** Closes the connections on which no request has begun. */
    fun closeIdle() = connections.filter { it.isIdle }.forEach { it.close() }

    private fun initialize(channel: Channel) {
        val decoderConfig =
            HttpDecoderConfig()
                .setMaxInitialLineLength(limits().headerBytes)
                .setMaxHeaderSize(limits().headerBytes)
        channel.pipeline().addLast(RequestDecoder(decoderConfig), HttpResponseEncoder())
        val connection = CallerConnection(this, loop, limits, handler)
        connections += connection
        channel.pipeline().addLast(connection)
    }

    internal fun remove(connection: CallerConnection) {
        connections -= connection
    }

    /** Reserves [bytes] for a request body of which [ownerBytes] are buffered; false if the memory limit is reached. */
    internal fun tryReserve(
        bytes: Int,
        ownerBytes: Int,
    ): Boolean = bodyBudget.tryReserve(bytes, ownerBytes)

    internal fun release(bytes: Int) = bodyBudget.release(bytes)

    private companion object {
        /** Limit on the request bodies buffered at the same time: a quarter of the heap of the smallest VM. */
        const val MAX_BUFFERED_BYTES = 24_000_000L
    }
}
