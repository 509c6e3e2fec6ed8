/*
 * One caller's connection: reads a request whole, has it handled, and reads the next one after its answer.
 */
package io.guavashore.net

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import io.netty.util.concurrent.ScheduledFuture
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import java.io.ByteArrayOutputStream
import java.util.concurrent.TimeUnit

internal class CallerConnection(
    private val server: HttpServer,
    private val loop: ProcessLoop,
    private val limits: () -> CallerLimits,
    private val handler: ExchangeHandler,
) : ChannelInboundHandlerAdapter() {
    private lateinit var context: ChannelHandlerContext
    private val waiting = ArrayDeque<HttpObject>()
    private var head: HttpRequest? = null
    private var body = ByteArrayOutputStream()
    private var exchange: HttpExchange? = null
    private var work: Job? = null
    private var timer: ScheduledFuture<*>? = null
    private var used = false

    val isActive: Boolean get() = exchange != null

    val isIdle: Boolean get() = exchange == null && head == null && waiting.isEmpty()

    fun close() {
        context.close()
    }

    override fun handlerAdded(ctx: ChannelHandlerContext) {
        context = ctx
        startTimer(limits().headerTimeoutMs)
    }

    override fun channelRead(
        ctx: ChannelHandlerContext,
        msg: Any,
    ) {
        if (msg !is HttpObject) return
        if (exchange != null) return queue(msg)
        accept(msg)
    }

    override fun channelWritabilityChanged(ctx: ChannelHandlerContext) {
        exchange?.writabilityChanged()
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        timer?.cancel(false)
        waiting.forEach { ReferenceCountUtil.release(it) }
        waiting.clear()
        server.release(body.size())
        server.forget(this)
        exchange?.callerLeft()
        work?.cancel()
    }

    override fun exceptionCaught(
        ctx: ChannelHandlerContext,
        cause: Throwable,
    ) {
        ctx.close()
    }

    /** A caller that sends on without waiting is read no further until its first request is answered. */
    private fun queue(message: HttpObject) {
        waiting += message
        if (waiting.size > MOST_QUEUED_MESSAGES) context.channel().config().isAutoRead = false
    }

    private fun accept(message: HttpObject) {
        if (message.decoderResult().isFailure) {
            ReferenceCountUtil.release(message)
            return refuse(BAD_REQUEST)
        }
        if (message is HttpRequest) begin(message)
        if (message is HttpContent) append(message)
    }

    private fun begin(request: HttpRequest) {
        head = request
        startTimer(limits().headerTimeoutMs + BODY_TIME_MS)
        if (HttpUtil.getContentLength(request, 0L) > limits().bodyBytes) return refuse(TOO_LARGE)
        if (HttpUtil.is100ContinueExpected(request)) HttpExchange.sendContinue(context)
    }

    private fun append(content: HttpContent) {
        if (head == null) {
            content.release()
            return
        }
        val size = content.content().readableBytes()
        if (body.size() + size > limits().bodyBytes) {
            content.release()
            return refuse(TOO_LARGE)
        }
        if (!server.tryHold(size, body.size())) {
            content.release()
            return refuse(UNAVAILABLE)
        }
        content.content().readBytes(body, size)
        content.release()
        if (content is LastHttpContent) dispatch()
    }

    private fun dispatch() {
        val request = head ?: return
        timer?.cancel(false)
        val message =
            HttpRequestMessage(
                method = request.method().name(),
                uri = request.uri(),
                headers = Headers(request.headers().map { it.key to it.value }),
                body = body.toByteArray(),
            )
        val keepAlive = HttpUtil.isKeepAlive(request)
        val current = HttpExchange(context, message, keepAlive, server) { finished(keepAlive) }
        exchange = current
        work = loop.scope.launch(start = CoroutineStart.UNDISPATCHED) { current.handle(handler) }
    }

    private fun finished(keepAlive: Boolean) {
        server.release(body.size())
        head = null
        body = ByteArrayOutputStream()
        exchange = null
        work = null
        used = true
        if (!keepAlive || server.isStopping) return
        startTimer(limits().idleTimeoutMs)
        resume()
    }

    private fun resume() {
        while (exchange == null) {
            val next = waiting.removeFirstOrNull() ?: break
            accept(next)
        }
        if (waiting.size <= MOST_QUEUED_MESSAGES) context.channel().config().isAutoRead = true
    }

    private fun refuse(status: Int) {
        timer?.cancel(false)
        HttpExchange.sendAndClose(context, status)
    }

    private fun startTimer(delayMs: Long) {
        timer?.cancel(false)
        timer = context.executor().schedule({ timedOut() }, delayMs, TimeUnit.MILLISECONDS)
    }

    private fun timedOut() {
        if (exchange != null) return
        if (head != null) refuse(REQUEST_TIMEOUT) else close()
    }

    private companion object {
        const val BAD_REQUEST = 400
        const val REQUEST_TIMEOUT = 408
        const val TOO_LARGE = 413
        const val UNAVAILABLE = 503

        /** A pipelined request of usual size has two messages: its head and its body. */
        const val MOST_QUEUED_MESSAGES = 8

        /** Time for a body after its head; the largest body at 10 Mbit/s takes 27 s. */
        const val BODY_TIME_MS = 27_000L

        init {
            // Loads the class before the first large body, not during it.
            DefaultHttpContent::class.java.name
        }
    }
}
