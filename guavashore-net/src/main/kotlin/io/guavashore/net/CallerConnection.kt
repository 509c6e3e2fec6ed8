/*
 * Connection of one caller. Reads a complete request, passes it to the handler, and reads the next request after the
 * response has been sent.
 */
package io.guavashore.net

import io.github.oshai.kotlinlogging.KotlinLogging
import io.netty.channel.ChannelFuture
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

private val log = KotlinLogging.logger {}

internal class CallerConnection(
    private val server: HttpServer,
    private val loop: ProcessLoop,
    private val limits: () -> CallerLimits,
    private val handler: ExchangeHandler,
) : ChannelInboundHandlerAdapter() {
    private lateinit var context: ChannelHandlerContext
    private val pipelined = ArrayDeque<HttpObject>()
    private var head: HttpRequest? = null
    private var body = ByteArrayOutputStream()
    private var exchange: HttpExchange? = null
    private var handlerJob: Job? = null
    private var timer: ScheduledFuture<*>? = null

    /** True once the last response of the connection has been sent; nothing that arrives after it is taken. */
    private var isClosing = false

    /** Bytes of the last response that its caller had not taken when this was read last; null once it is written. */
    private var unwrittenBytes: Long? = null

    val isActive: Boolean get() = exchange != null || unwrittenBytes != null

    val isIdle: Boolean get() = !isActive && head == null && pipelined.isEmpty()

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
        if (isClosing) {
            ReferenceCountUtil.release(msg)
            return
        }
        if (isActive) return queue(msg)
        accept(msg)
    }

    override fun channelWritabilityChanged(ctx: ChannelHandlerContext) {
        exchange?.writabilityChanged()
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        timer?.cancel(false)
        pipelined.forEach { ReferenceCountUtil.release(it) }
        pipelined.clear()
        server.release(body.size())
        server.remove(this)
        exchange?.callerDisconnected()
        handlerJob?.cancel()
    }

    override fun exceptionCaught(
        ctx: ChannelHandlerContext,
        cause: Throwable,
    ) {
        ctx.close()
    }

    /** Queues a pipelined message; if there are many, reading pauses until the current request is answered. */
    private fun queue(message: HttpObject) {
        pipelined += message
        if (pipelined.size > MAX_QUEUED_MESSAGES) context.channel().config().isAutoRead = false
    }

    private fun accept(message: HttpObject) {
        if (message.decoderResult().isFailure) {
            ReferenceCountUtil.release(message)
            return reject(message.decoderResult().cause().message)
        }
        if (message is HttpRequest) begin(message)
        if (message is HttpContent) append(message)
    }

    private fun begin(request: HttpRequest) {
        head = request
        startTimer(limits().headerTimeoutMs + BODY_TIMEOUT_MS)
        ambiguityOf(request)?.let { return reject(it) }
        if (HttpUtil.getContentLength(request, 0L) > limits().bodyBytes) return refuse(CONTENT_TOO_LARGE)
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
            return refuse(CONTENT_TOO_LARGE)
        }
        if (!server.tryReserve(size, body.size())) {
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
        val current = HttpExchange(context, message, keepAlive, server) { responseSent(keepAlive, it) }
        exchange = current
        handlerJob = loop.scope.launch(start = CoroutineStart.UNDISPATCHED) { current.handle(handler) }
    }

    private fun responseSent(
        keepAlive: Boolean,
        written: ChannelFuture,
    ) {
        server.release(body.size())
        head = null
        body = ByteArrayOutputStream()
        exchange = null
        handlerJob = null
        startTimer(limits().idleTimeoutMs)
        isClosing = !keepAlive || server.isStopping
        if (written.isDone) resume() else awaitWritten(written)
    }

    /** Keeps the connection active until [written] has completed, so that a slow caller gets the whole response. */
    private fun awaitWritten(written: ChannelFuture) {
        unwrittenBytes = readUnwrittenBytes()
        written.addListener {
            unwrittenBytes = null
            if (isClosing || !context.channel().isActive) return@addListener
            startTimer(limits().idleTimeoutMs)
            resume()
        }
    }

    private fun readUnwrittenBytes(): Long {
        val buffer = context.channel().unsafe().outboundBuffer() ?: return 0
        return buffer.totalPendingWriteBytes() - buffer.currentProgress()
    }

    /** True if the caller has taken bytes of an unwritten response since the last call. */
    private fun isStillReading(): Boolean {
        val before = unwrittenBytes ?: return false
        return readUnwrittenBytes().also { unwrittenBytes = it } < before
    }

    private fun resume() {
        while (!isActive && !isClosing) {
            val next = pipelined.removeFirstOrNull() ?: break
            accept(next)
        }
        if (pipelined.size <= MAX_QUEUED_MESSAGES) context.channel().config().isAutoRead = true
    }

    private fun reject(reason: String?) {
        val shortReason = reason?.take(MAX_REASON_CHARS)
        log.info {
            "request rejected, connection closed: remote=${context.channel().remoteAddress()} reason=$shortReason"
        }
        refuse(BAD_REQUEST)
    }

    private fun refuse(status: Int) {
        isClosing = true
        startTimer(limits().idleTimeoutMs)
        HttpExchange.sendAndClose(context, status)
    }

    private fun startTimer(delayMs: Long) {
        timer?.cancel(false)
        timer = context.executor().schedule({ timedOut() }, delayMs, TimeUnit.MILLISECONDS)
    }

    private fun timedOut() {
        if (exchange != null) return
        if (isStillReading()) return startTimer(limits().idleTimeoutMs)
        if (head != null && !isClosing) refuse(REQUEST_TIMEOUT) else close()
    }

    private companion object {
        const val BAD_REQUEST = 400
        const val REQUEST_TIMEOUT = 408
        const val CONTENT_TOO_LARGE = 413
        const val UNAVAILABLE = 503

        /** A pipelined request of typical size consists of two messages: head and body. */
        const val MAX_QUEUED_MESSAGES = 8

        const val MAX_REASON_CHARS = 200

        /** Time for the body after the head: the largest body takes 27 s at 10 Mbit/s. */
        const val BODY_TIMEOUT_MS = 27_000L

        init {
            // Loads the class at start-up rather than while the first large body is received.
            DefaultHttpContent::class.java.name
        }
    }
}
