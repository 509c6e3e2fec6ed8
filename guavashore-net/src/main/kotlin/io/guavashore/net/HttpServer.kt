/*
 * HTTP server for callers.
 */
package io.guavashore.net

import io.guavashore.api.Endpoint
import io.netty.channel.Channel
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpRequestDecoder
import io.netty.handler.codec.http.HttpResponseEncoder

/** Limits on what callers may send and how long they may take. */
data class CallerLimits(
    val headerBytes: Int = 16_384,
    val bodyBytes: Int = 33_554_432,
    val headerTimeoutMs: Long = 3_000,
    val idleTimeoutMs: Long = 15_000,
)

/** Handles one request; the answer goes through the exchange. */
typealias ExchangeHandler = suspend (HttpExchange) -> Unit

/** Listens for callers. [limits] is asked anew for each connection and each request. */
class HttpServer(
    private val loop: ProcessLoop,
    private val limits: () -> CallerLimits,
    private val handler: ExchangeHandler,
) {
    private val connections = HashSet<CallerConnection>()
    private val heldBodies = ByteBudget(MOST_HELD_BYTES)

    /** Number of requests that have been read and not answered yet. */
    val activeRequests: Int get() = connections.count { it.isActive }

    /** While true, each answer asks its caller to open another connection. */
    var isStopping = false
        private set

    /** Listens at [endpoint]; returns the address in use, which matters if the port was 0. */
    suspend fun listen(endpoint: Endpoint): Endpoint = bind(loop, endpoint, ::initialize)

    /** Asks callers to leave: idle connections stay until [closeIdle]. */
    fun beginStop() {
        isStopping = true
    }

    /** Closes connections on which no request has begun. */
    fun closeIdle() = connections.filter { it.isIdle }.forEach { it.close() }

    private fun initialize(channel: Channel) {
        val decoderConfig =
            HttpDecoderConfig()
                .setMaxInitialLineLength(limits().headerBytes)
                .setMaxHeaderSize(limits().headerBytes)
        channel.pipeline().addLast(HttpRequestDecoder(decoderConfig), HttpResponseEncoder())
        val connection = CallerConnection(this, loop, limits, handler)
        connections += connection
        channel.pipeline().addLast(connection)
    }

    internal fun forget(connection: CallerConnection) {
        connections -= connection
    }

    /** Accounts for [bytes] more of a body of which [ownBytes] are held; false if the process holds too many. */
    internal fun tryHold(
        bytes: Int,
        ownBytes: Int,
    ): Boolean = heldBodies.tryHold(bytes, ownBytes)

    internal fun release(bytes: Int) = heldBodies.release(bytes)

    private companion object {
        /** Request bodies held at once; a quarter of the heap of the smallest VM. */
        const val MOST_HELD_BYTES = 24_000_000L
    }
}
