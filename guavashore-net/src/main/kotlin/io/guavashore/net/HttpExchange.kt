/*
 * One request of a caller and the response to it.
 */
package io.guavashore.net

import io.github.oshai.kotlinlogging.KotlinLogging
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFuture
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

private val log = KotlinLogging.logger {}

/**
 * Request of a caller with its response. Send the response either with [respond] or with [begin], [write] and [finish].
 * Use [abort] if a response can't be completed, so that the caller can't take it for complete.
 *
 * @param onFinished called when the last part of the response has been handed over, with the future of its writing
 */
class HttpExchange internal constructor(
    private val context: ChannelHandlerContext,
    val request: HttpRequestMessage,
    private val keepAlive: Boolean,
    private val server: HttpServer,
    private val onFinished: (written: ChannelFuture) -> Unit,
) {
    private enum class State { OPEN, BEGUN, DONE }

    private var state = State.OPEN
    private var writable: CompletableDeferred<Unit>? = null

    /** True if the response ends with its head; bytes of a body would be taken for the next response. */
    private val endsWithHead = request.method == "HEAD"

    /** True once the response has begun. */
    val hasBegun: Boolean get() = state != State.OPEN

    /** False once the connection to the caller is closed. */
    var isCallerConnected = true
        private set

    /** Sends a complete response; does nothing if a response has begun. */
    fun respond(response: HttpResponseMessage) {
        if (state != State.OPEN) return
        state = State.DONE
        val headers = headersOf(response.headers)
        headers.set("Content-Length", response.body.size.toString())
        val message =
            DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(response.status),
                if (endsWithHead) Unpooled.EMPTY_BUFFER else Unpooled.wrappedBuffer(response.body),
                headers,
                EmptyHttpHeaders.INSTANCE,
            )
        sendLast(message)
    }

    /** Begins a response of unknown length. */
    fun begin(head: ResponseHead) {
        check(state == State.OPEN) { "the response has already begun" }
        state = State.BEGUN
        val headers = headersOf(head.headers)
        if (!endsWithHead) headers.set("Transfer-Encoding", "chunked")
        context.write(DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(head.status), headers))
    }

    /** Sends [bytes]; suspends while the caller does not read fast enough. */
    suspend fun write(bytes: ByteArray) {
        if (endsWithHead) return
        context.writeAndFlush(DefaultHttpContent(Unpooled.wrappedBuffer(bytes)))
        while (!context.channel().isWritable && context.channel().isActive) {
            writable = CompletableDeferred<Unit>().also { it.await() }
        }
    }

    /** Completes a response that was started with [begin]. */
    fun finish() {
        if (state != State.BEGUN) return
        state = State.DONE
        sendLast(LastHttpContent.EMPTY_LAST_CONTENT)
    }

    /** Closes the connection without completing the response. */
    fun abort() {
        state = State.DONE
        context.close()
    }

    internal fun callerDisconnected() {
        isCallerConnected = false
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
            if (isCallerConnected) handlerFailed()
            throw e
        } catch (e: Throwable) {
            log.error(e) { "handler failed unexpectedly: method=${request.method} uri=${request.uri} state=$state" }
        }
        if (state != State.DONE) handlerFailed()
    }

    /** Responds with 500 if the handler ended without a response: it is then unknown whether the request ran. */
    private fun handlerFailed() = if (state == State.OPEN) respond(HttpResponseMessage(INTERNAL_ERROR)) else abort()

    private fun sendLast(message: Any) {
        val closeAfterwards = !keepAlive || server.isStopping
        val sent = context.writeAndFlush(message)
        if (closeAfterwards) sent.addListener(ChannelFutureListener.CLOSE)
        onFinished(sent)
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
