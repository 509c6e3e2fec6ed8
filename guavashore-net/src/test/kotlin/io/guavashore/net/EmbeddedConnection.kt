/*
 * Connection without a socket, whose received bytes and time are given.
 */
package io.guavashore.net

import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.TimeUnit

internal class EmbeddedConnection : AutoCloseable {
    private val connection = HttpConnection(ByteBudget(maxBytes = 1_000_000))
    private val channel = EmbeddedChannel(*HttpDialer.handlersOf(connection).toTypedArray())

    val isOpen: Boolean get() = connection.isOpen

    fun send(method: String = "GET") {
        connection.send(HttpRequestMessage(method, "/", Headers.NONE))
        channel.releaseOutbound()
    }

    /** Receives [bytes] with one read, after which [pauseMs] pass. */
    fun receive(
        bytes: String,
        pauseMs: Long = 0,
    ) {
        if (channel.isOpen) channel.writeInbound(Unpooled.wrappedBuffer(bytes.encodeToByteArray()))
        channel.advanceTimeBy(pauseMs, TimeUnit.MILLISECONDS)
        channel.runScheduledPendingTasks()
    }

    override fun close() {
        channel.finishAndReleaseAll()
    }

    /** Returns the status, the header fields and the body of the response; null if it did not arrive completely. */
    fun response(): String? =
        runBlocking {
            try {
                val response = withTimeoutOrNull(MAX_WAIT_MS) { connection.readResponse(maxBytes = 100_000) }
                response?.let { "${it.status} ${it.headers.toList()} ${it.body.decodeToString()}" }
            } catch (_: ExchangeFailure) {
                null
            }
        }

    private companion object {
        /** What has been received is read without waiting. */
        const val MAX_WAIT_MS = 20L
    }
}
