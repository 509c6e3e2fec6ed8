/*
 * One request of a caller and its answer.
 */
package io.guavashore.net

import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.EmptyHttpHeaders
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred

/**
 * Request of a caller. Answer it once with [respond], or with [begin], [write] and [finish]; [abort] ends an answer
 * that can't be completed, so that it does not look complete.
 */
class HttpExchange internal constructor(
    private val context: ChannelHandlerContext,
    val request: HttpRequestMessage,
    private val keepAlive: Boolean,
    private val server: HttpServer,
    private val onFinished: () -> Unit,
) {
    private enum class State { OPEN, BEGUN, DONE }

    private var state = State.OPEN
    private var writable: CompletableDeferred<Unit>? = null

    /** True once any byte of an answer has been written. */
    val hasBegun: Boolean get() = state != State.OPEN

    /** False once the caller has closed its connection. */
    var callerIsThere = true
        private set

    /** Sends a complete answer. */
    fun respond(answer: HttpResponseMessage) {
        if (state != State.OPEN) return
        state = State.DONE
        val headers = headersOf(answer.headers)
        headers.set("Content-Length", answer.body.size.toString())
        val message =
            DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(answer.status),
                Unpooled.wrappedBuffer(answer.body),
                headers,
                EmptyHttpHeaders.INSTANCE,
            )
        end(message)
    }

    /** Begins an answer whose length is not known. */
    fun begin(head: ResponseHead) {
        check(state == State.OPEN) { "the answer has begun" }
        state = State.BEGUN
        val headers = headersOf(head.headers)
        headers.set("Transfer-Encoding", "chunked")
        context.write(DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(head.status), headers))
    }

    /** Sends [bytes]; waits while the caller does not read. */
    suspend fun write(bytes: ByteArray) {
        context.writeAndFlush(DefaultHttpContent(Unpooled.wrappedBuffer(bytes)))
        while (!context.channel().isWritable && context.channel().isActive) {
            writable = CompletableDeferred<Unit>().also { it.await() }
        }
    }

    /** Ends a begun answer as complete. */
    fun finish() {
        if (state != State.BEGUN) return
        state = State.DONE
        end(LastHttpContent.EMPTY_LAST_CONTENT)
    }

    /** Ends the connection without completing the answer. */
    fun abort() {
        state = State.DONE
        context.close()
    }

    internal fun callerLeft() {
        callerIsThere = false
        state = State.DONE
        writable?.complete(Unit)
    }

    internal fun writabilityChanged() {
        if (context.channel().isWritable) writable?.complete(Unit)
    }

    internal suspend fun handle(handler: ExchangeHandler) {
        try {
            handler(this)
        } catch (e: CancellationException) {
            if (callerIsThere) failed()
            throw e
        }
        if (state != State.DONE) failed()
    }

    /** A handler that ended without an answer: nothing is known about the request, and 500 promises nothing. */
    private fun failed() = if (state == State.OPEN) respond(HttpResponseMessage(INTERNAL_ERROR)) else abort()

    private fun end(message: Any) {
        val close = !keepAlive || server.isStopping
        val sent = context.writeAndFlush(message)
        if (close) sent.addListener(ChannelFutureListener.CLOSE)
        onFinished()
    }

    private fun headersOf(source: Headers): HttpHeaders {
        val headers = DefaultHttpHeaders(false)
        source.forEach { (name, value) -> headers.add(name, value) }
        if (!keepAlive || server.isStopping) headers.set("Connection", "close")
        return headers
    }

    internal companion object {
        private const val INTERNAL_ERROR = 500

        fun sendContinue(context: ChannelHandlerContext) {
            context.writeAndFlush(
                DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER),
            )
        }

        fun sendAndClose(
            context: ChannelHandlerContext,
            status: Int,
        ) {
            val message =
                DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    HttpResponseStatus.valueOf(status),
                    Unpooled.EMPTY_BUFFER,
                )
            message.headers().set("Content-Length", "0").set("Connection", "close")
            context.writeAndFlush(message).addListener(ChannelFutureListener.CLOSE)
        }
    }
}
