/*
 * One client connection to a server; carries one exchange at a time.
 */
package io.guavashore.net

import io.github.oshai.kotlinlogging.KotlinLogging
import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.EmptyHttpHeaders
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import kotlinx.coroutines.channels.Channel.Factory.UNLIMITED
import kotlinx.coroutines.withTimeoutOrNull
import java.io.ByteArrayOutputStream
import java.io.IOException
import kotlinx.coroutines.channels.Channel as Mailbox

private val log = KotlinLogging.logger {}

/** Head of a server's answer; the body is read with [HttpConnection.nextPart]. */
class ResponseHead(
    val status: Int,
    val headers: Headers,
)

/** What a read of a body brought: [bytes], or null at its complete end. */
class BodyPart(
    val bytes: ByteArray?,
)

/**
 * Connection to one server.
 *
 * An answer whose length is marked by the end of the connection is complete only if the connection ended in order.
 * Bytes that arrive while no answer is expected close the connection, so they never reach a caller.
 */
class HttpConnection internal constructor(
    private val heldAnswers: ByteBudget,
) : ChannelInboundHandlerAdapter() {
    private lateinit var channel: Channel
    private var answers: Mailbox<HttpObject>? = null
    private var brokenBy: String? = null
    private var pendingBytes = 0
    private var keepAlive = true
    private var keepAliveS: Long? = null

    /** The answer's end has arrived, though perhaps not been read by its consumer yet. */
    private var endArrived = false
    private var endRead = false
    private var isInterim = false
    private var interimAnswers = 0

    /** Number of messages, or parts of one, that have arrived. */
    internal var messagesRead = 0L
        private set

    /** Hears of the head of each answer before [head] returns it. */
    var onHead: (ResponseHead) -> Unit = {}

    /** True between the send of a request and the end of its answer. */
    var busy = false
        private set

    /** Monotonic time of the last completed exchange, in nanoseconds. */
    var idleSinceNs = System.nanoTime()
        private set

    val isOpen: Boolean get() = channel.isActive && brokenBy == null

    /** True if another request may be sent on this connection now. */
    fun isReusable(nowNs: Long): Boolean {
        if (busy || !isOpen || !keepAlive) return false
        val idleMs = (nowNs - idleSinceNs) / NANOS_PER_MS
        val allowedMs = keepAliveS?.let { it * MS_PER_S - KEEP_ALIVE_MARGIN_MS } ?: MOST_IDLE_MS
        return idleMs < allowedMs
    }

    /** Sends [request]; its body is complete, so a length is set. */
    fun send(request: HttpRequestMessage) {
        check(!busy) { "an exchange is under way on this connection" }
        busy = true
        endArrived = false
        endRead = false
        interimAnswers = 0
        answers = Mailbox(UNLIMITED, onUndeliveredElement = ReferenceCountUtil::release)
        val headers = DefaultHttpHeaders(false)
        request.headers.forEach { (name, value) -> headers.add(name, value) }
        if (request.body.isNotEmpty() || request.method in METHODS_WITH_BODY) {
            headers.set("Content-Length", request.body.size.toString())
        }
        val message =
            DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.valueOf(request.method),
                request.uri,
                Unpooled.wrappedBuffer(request.body),
                headers,
                EmptyHttpHeaders.INSTANCE,
            )
        channel.writeAndFlush(message).addListener { if (!it.isSuccess) breakOff("write failed: ${it.cause()}") }
    }

    /** Waits for the head of the answer; interim answers are skipped. */
    suspend fun head(): ResponseHead {
        var next = receive()
        while (next !is HttpResponse || next.status().code() < FIRST_FINAL_STATUS) {
            ReferenceCountUtil.release(next)
            next = receive()
        }
        keepAlive = HttpUtil.isKeepAlive(next)
        keepAliveS = keepAliveSeconds(next.headers()["Keep-Alive"])
        return ResponseHead(next.status().code(), Headers(next.headers().map { it.key to it.value })).also(onHead)
    }

    /** Next bytes of the body, or null at its complete end. */
    suspend fun nextPart(): ByteArray? {
        while (!endRead) {
            val next = receive()
            if (next !is HttpContent) throw broken("two answers to one request")
            val bytes = ByteBufUtil.getBytes(next.content())
            next.release()
            consumed(bytes.size)
            endRead = next is LastHttpContent
            if (bytes.isNotEmpty()) return bytes
        }
        endExchange()
        return null
    }

    /** As [nextPart]; null if nothing came in [timeoutMs]. */
    suspend fun nextPartWithin(timeoutMs: Long): BodyPart? = withTimeoutOrNull(timeoutMs) { BodyPart(nextPart()) }

    /** Reads the whole answer; fails if its body is longer than [mostBytes]. */
    suspend fun readResponse(mostBytes: Int): HttpResponseMessage {
        val head = head()
        return HttpResponseMessage(head.status, head.headers, readBody(mostBytes))
    }

    /** Reads the rest of the body; fails if it is longer than [mostBytes], or than the process can hold now. */
    suspend fun readBody(mostBytes: Int): ByteArray {
        val whole = ByteArrayOutputStream()
        var held = 0
        try {
            while (true) {
                val part = nextPart() ?: return whole.toByteArray()
                val cost = ByteBudget.costOf(part.size)
                if (held + cost > mostBytes) throw broken("body longer than $mostBytes bytes")
                if (!heldAnswers.tryHold(cost, held)) throw broken("no room for ${held + cost} bytes of one answer")
                held += cost
                whole.write(part)
            }
        } finally {
            heldAnswers.release(held)
        }
    }

    /**
     * Reads the rest of a body that says nothing, so that the connection can be used again; closes the connection if
     * the body is longer than [mostBytes] or breaks off.
     */
    suspend fun discardBody(mostBytes: Int) {
        try {
            readBody(mostBytes)
        } catch (e: ExchangeFailure) {
            log.info { "connection closed: ${e.message}" }
        }
    }

    /** Closes the connection and drops what was not read of its answer; a running request is dropped by its server. */
    fun close() {
        breakOff("closed here")
        while (true) ReferenceCountUtil.release(answers?.tryReceive()?.getOrNull() ?: break)
    }

    override fun handlerAdded(ctx: ChannelHandlerContext) {
        channel = ctx.channel()
    }

    /** [bytes] have arrived since the last message, and make none. */
    internal fun noMessageIn(bytes: Int) {
        if (answers == null || endArrived) return breakOff("bytes outside an answer")
        if (bytes > MOST_BYTES_WITHOUT_MESSAGE) breakOff("$bytes bytes that are no answer")
    }

    override fun channelRead(
        ctx: ChannelHandlerContext,
        msg: Any,
    ) {
        messagesRead++
        val waiting = answers.takeUnless { endArrived || brokenBy != null }
        if (msg !is HttpObject || waiting == null) {
            ReferenceCountUtil.release(msg)
            return breakOff("bytes outside an answer")
        }
        if (msg.decoderResult().isFailure) {
            ReferenceCountUtil.release(msg)
            return breakOff("unreadable answer: ${msg.decoderResult().cause().message}")
        }
        if (msg is HttpContent) received(msg.content().readableBytes())
        if (msg is HttpResponse) {
            isInterim = msg.status().code() < FIRST_FINAL_STATUS
            if (isInterim && ++interimAnswers > MOST_INTERIM_ANSWERS) return breakOff("interim answers without end")
        }
        endArrived = msg is LastHttpContent && !isInterim
        waiting.trySend(msg)
    }

    override fun exceptionCaught(
        ctx: ChannelHandlerContext,
        cause: Throwable,
    ) = breakOff(cause.message ?: cause.javaClass.simpleName)

    override fun channelInactive(ctx: ChannelHandlerContext) {
        answers?.close(ExchangeFailure.Broken(brokenBy ?: "connection ended"))
        ctx.fireChannelInactive()
    }

    private suspend fun receive(): HttpObject {
        val mailbox = answers ?: throw broken("no request was sent")
        return try {
            mailbox.receive()
        } catch (e: IOException) {
            throw ExchangeFailure.Broken(e.message ?: "connection ended")
        }
    }

    private fun broken(reason: String): ExchangeFailure {
        breakOff(reason)
        return ExchangeFailure.Broken(reason)
    }

    private fun breakOff(reason: String) {
        if (brokenBy == null) brokenBy = reason
        answers?.close(ExchangeFailure.Broken(reason))
        channel.close()
    }

    private fun endExchange() {
        busy = false
        answers = null
        idleSinceNs = System.nanoTime()
        if (!keepAlive) close()
    }

    private fun received(bytes: Int) {
        pendingBytes += ByteBudget.costOf(bytes)
        if (pendingBytes > MOST_PENDING_BYTES) channel.config().isAutoRead = false
    }

    private fun consumed(bytes: Int) {
        pendingBytes -= ByteBudget.costOf(bytes)
        if (pendingBytes <= MOST_PENDING_BYTES && !channel.config().isAutoRead) channel.config().isAutoRead = true
    }

    private fun keepAliveSeconds(header: String?): Long? =
        header
            ?.split(',')
            ?.firstOrNull { it.trim().startsWith("timeout=") }
            ?.substringAfter('=')
            ?.trim()
            ?.toLongOrNull()

    private companion object {
        const val NANOS_PER_MS = 1_000_000L
        const val MS_PER_S = 1_000L
        const val FIRST_FINAL_STATUS = 200

        /** A request sent this close to the server's idle timeout could meet its close on the way. */
        const val KEEP_ALIVE_MARGIN_MS = 600L

        /** Longest reuse of a connection whose server names no idle timeout; servers commonly wait 5 s or more. */
        const val MOST_IDLE_MS = 4_000L

        /** Bytes of an answer held for a slow reader before reading pauses. */
        const val MOST_PENDING_BYTES = 262_144

        /** Twice what the decoder takes for a head. */
        const val MOST_BYTES_WITHOUT_MESSAGE = 16_384

        /** Servers send one or two before an answer. */
        const val MOST_INTERIM_ANSWERS = 20

        val METHODS_WITH_BODY = setOf("POST", "PUT", "PATCH")
    }
}
