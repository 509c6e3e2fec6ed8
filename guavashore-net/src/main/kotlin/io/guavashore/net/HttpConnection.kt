/*
 * Client connection to a server. Carries one exchange at a time.
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
import kotlinx.coroutines.channels.Channel as CoroutineChannel

private val log = KotlinLogging.logger {}

/** Status and header fields of a server's response; the body is read with [HttpConnection.nextPart]. */
class ResponseHead(
    val status: Int,
    val headers: Headers,
)

/** Result of reading from a body: [bytes], or null at the end of the complete body. */
class BodyPart(
    val bytes: ByteArray?,
)

/**
 * Connection to one server.
 *
 * A response whose end is marked by the end of the connection is complete only if the connection was closed normally.
 * If bytes arrive while no response is expected, the connection is closed, so that they never reach a caller.
 */
class HttpConnection internal constructor(
    private val responseBudget: ByteBudget,
) : ChannelInboundHandlerAdapter() {
    private lateinit var channel: Channel
    private var responseParts: CoroutineChannel<HttpObject>? = null
    private var closeReason: String? = null
    private var pendingBytes = 0
    private var keepAlive = true
    private var keepAliveS: Long? = null

    /** True once the end of the response has arrived, even if it has not been consumed yet. */
    private var lastPartReceived = false
    private var lastPartConsumed = false
    private var isInterim = false
    private var interimResponses = 0

    /** True from the end of an interim response to the beginning of the next response. */
    internal var isInterimResponseComplete = false
        private set

    /** True from the sending of a request until the end of its response has arrived. */
    internal val isResponseDue: Boolean get() = responseParts != null && !lastPartReceived && closeReason == null

    /** Number of messages and parts of messages that have been decoded. */
    internal var messagesDecoded = 0L
        private set

    /** Ids of the requests that were sent. */
    val sentIds = SentRequestIds()

    /** Id of the request that was sent last; null if it has none. */
    var requestId: String? = null
        private set

    /** Method of the request that was sent last; null before the first. */
    internal var requestMethod: HttpMethod? = null
        private set

    /** Start of the server's process as it stated on this connection, in Unix milliseconds; null if it is not known. */
    var serverBornAtMs: Long? = null

    /** Number of the last request on this connection, counted from 1; 0 before the first. */
    var exchangeNumber = 0
        private set

    /** True while no request before the last one was sent, so that no response to another request can arrive. */
    val isFirstExchange: Boolean get() = exchangeNumber <= 1

    /** True from the sending of a request until its response has been read completely. */
    var busy = false
        private set

    /** Monotonic time at which the last request was sent, in nanoseconds. */
    var sentAtNs = 0L
        private set

    private var receivedAtNs = System.nanoTime()

    /** Monotonic time of the last completed exchange, in nanoseconds. */
    var idleSinceNs = System.nanoTime()
        private set

    val isOpen: Boolean get() = channel.isActive && closeReason == null

    /** Fields of log lines that tell this connection and its last request from others. */
    val logFields: String
        get() = "local=${channel.localAddress()} remote=${channel.remoteAddress()} exchange=$exchangeNumber"

    /** Time since the last request was sent or the last bytes arrived. */
    val silentForMs: Long get() = (System.nanoTime() - maxOf(sentAtNs, receivedAtNs)) / NANOS_PER_MS

    /** True if another request may be sent on this connection at [nowNs], in monotonic nanoseconds. */
    fun isReusable(nowNs: Long): Boolean {
        if (busy || !isOpen || !keepAlive) return false
        val idleMs = (nowNs - idleSinceNs) / NANOS_PER_MS
        val maxIdleMs = keepAliveS?.let { it * MS_PER_S - KEEP_ALIVE_MARGIN_MS } ?: MAX_IDLE_MS
        return idleMs < maxIdleMs && !sentIds.isFull
    }

    /**
     * Sends [request] with a `Content-Length`, since its body is complete.
     *
     * @param requestId id that the response must state; null if the request has none. A connection carries no id twice.
     */
    fun send(
        request: HttpRequestMessage,
        requestId: String? = null,
    ) {
        check(!busy) { "an exchange is in progress on this connection" }
        check(requestId !in sentIds) { "the request id $requestId was already sent on this connection" }
        requestId?.let(sentIds::add)
        this.requestId = requestId
        val method = HttpMethod.valueOf(request.method)
        requestMethod = method
        exchangeNumber++
        busy = true
        sentAtNs = System.nanoTime()
        lastPartReceived = false
        lastPartConsumed = false
        interimResponses = 0
        isInterimResponseComplete = false
        responseParts = CoroutineChannel(UNLIMITED, onUndeliveredElement = ReferenceCountUtil::release)
        val headers = DefaultHttpHeaders(false)
        request.headers.forEach { (name, value) -> headers.add(name, value) }
        if (request.body.isNotEmpty() || request.method in METHODS_WITH_BODY) {
            headers.set("Content-Length", request.body.size.toString())
        }
        val message =
            DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                method,
                request.uri,
                Unpooled.wrappedBuffer(request.body),
                headers,
                EmptyHttpHeaders.INSTANCE,
            )
        channel.writeAndFlush(message).addListener { if (!it.isSuccess) closeWith("write failed: ${it.cause()}") }
    }

    /** Waits for the head of the response; interim (1xx) responses are skipped. */
    suspend fun head(): ResponseHead {
        var next = receive()
        while (next !is HttpResponse || next.status().code() < FIRST_FINAL_STATUS) {
            ReferenceCountUtil.release(next)
            next = receive()
        }
        keepAlive = HttpUtil.isKeepAlive(next)
        keepAliveS = keepAliveSeconds(next.headers()["Keep-Alive"])
        return ResponseHead(next.status().code(), Headers(next.headers().map { it.key to it.value }))
    }

    /** Returns the next bytes of the body, or null at the end of the complete body. */
    suspend fun nextPart(): ByteArray? {
        while (!lastPartConsumed) {
            val next = receive()
            if (next !is HttpContent) throw closeAndFail("second response to one request")
            val bytes = ByteBufUtil.getBytes(next.content())
            next.release()
            onBytesConsumed(bytes.size)
            lastPartConsumed = next is LastHttpContent
            if (bytes.isNotEmpty()) return bytes
        }
        completeExchange()
        return null
    }

    /** Like [nextPart], but returns null if nothing arrives within [timeoutMs]. */
    suspend fun nextPartWithin(timeoutMs: Long): BodyPart? = withTimeoutOrNull(timeoutMs) { BodyPart(nextPart()) }

    /** Reads the complete response; throws [ExchangeFailure] if its body is longer than [maxBytes]. */
    suspend fun readResponse(maxBytes: Int): HttpResponseMessage {
        val head = head()
        return HttpResponseMessage(head.status, head.headers, readBody(maxBytes))
    }

    /** Reads the rest of the body; throws [ExchangeFailure] if it exceeds [maxBytes] or the memory budget. */
    suspend fun readBody(maxBytes: Int): ByteArray {
        val body = ByteArrayOutputStream()
        var reserved = 0
        try {
            while (true) {
                val part = nextPart() ?: return body.toByteArray()
                val cost = ByteBudget.costOf(part.size)
                if (reserved + cost > maxBytes) throw closeAndFail("body longer than $maxBytes bytes")
                if (!responseBudget.tryReserve(cost, reserved)) {
                    throw closeAndFail("memory limit for responses reached, ${reserved + cost} bytes for this one")
                }
                reserved += cost
                body.write(part)
            }
        } finally {
            responseBudget.release(reserved)
        }
    }

    /** Closes the connection and discards the unread part of the response; the server aborts a running request. */
    fun close() {
        closeWith("closed locally")
        while (true) ReferenceCountUtil.release(responseParts?.tryReceive()?.getOrNull() ?: break)
    }

    override fun handlerAdded(ctx: ChannelHandlerContext) {
        channel = ctx.channel()
    }

    /** Called when [bytes] have arrived since the last message without forming another one. */
    internal fun undecodedBytesReceived(bytes: Int) {
        if (responseParts == null || lastPartReceived) return closeWith("unexpected bytes outside a response")
        if (bytes > MAX_UNDECODED_BYTES) closeWith("$bytes bytes received that are not an HTTP response")
    }

    override fun channelRead(
        ctx: ChannelHandlerContext,
        msg: Any,
    ) {
        messagesDecoded++
        receivedAtNs = System.nanoTime()
        val receiver = responseParts.takeUnless { lastPartReceived || closeReason != null }
        if (msg !is HttpObject || receiver == null) {
            ReferenceCountUtil.release(msg)
            return closeWith("unexpected bytes outside a response")
        }
        if (msg.decoderResult().isFailure) {
            ReferenceCountUtil.release(msg)
            return closeWith("invalid response: ${msg.decoderResult().cause().message}")
        }
        if (msg is HttpContent) onBytesReceived(msg.content().readableBytes())
        if (msg is HttpResponse) {
            ambiguityOfLength(msg)?.let { return closeWith("invalid response: $it") }
            isInterim = msg.status().code() < FIRST_FINAL_STATUS
            if (isInterim && ++interimResponses > MAX_INTERIM_RESPONSES) return closeWith("too many interim responses")
        }
        isInterimResponseComplete = msg is LastHttpContent && isInterim
        lastPartReceived = msg is LastHttpContent && !isInterim
        receiver.trySend(msg)
    }

    override fun exceptionCaught(
        ctx: ChannelHandlerContext,
        cause: Throwable,
    ) = closeWith(cause.message ?: cause.javaClass.simpleName)

    override fun channelInactive(ctx: ChannelHandlerContext) {
        if (closeReason == null) logUnanswered("ended by the server")
        responseParts?.close(ExchangeFailure.Broken(closeReason ?: "connection ended"))
        ctx.fireChannelInactive()
    }

    private suspend fun receive(): HttpObject {
        val parts = responseParts ?: throw closeAndFail("no request was sent")
        return try {
            parts.receive()
        } catch (e: IOException) {
            throw ExchangeFailure.Broken(e.message ?: "connection ended")
        }
    }

    private fun closeAndFail(reason: String): ExchangeFailure {
        closeWith(reason)
        return ExchangeFailure.Broken(reason)
    }

    /** Closes the connection; the exchange in progress fails with [reason]. */
    internal fun closeWith(reason: String) {
        if (closeReason == null) {
            logUnanswered(reason)
            closeReason = reason
        }
        responseParts?.close(ExchangeFailure.Broken(reason))
        if (busy) channel.close() else channel.endInOrder()
    }

    /** Logs that the connection ends before the response to its last request, which may still arrive at the server. */
    private fun logUnanswered(reason: String) {
        if (!isResponseDue) return
        log.info {
            "connection ended with a request under way: request=$requestId $logFields " +
                "sent_ms_ago=${(System.nanoTime() - sentAtNs) / NANOS_PER_MS} reason=$reason"
        }
    }

    private fun completeExchange() {
        busy = false
        responseParts = null
        idleSinceNs = System.nanoTime()
        if (!keepAlive) close()
    }

    private fun onBytesReceived(bytes: Int) {
        pendingBytes += ByteBudget.costOf(bytes)
        if (pendingBytes > MAX_PENDING_BYTES) channel.config().isAutoRead = false
    }

    private fun onBytesConsumed(bytes: Int) {
        pendingBytes -= ByteBudget.costOf(bytes)
        if (pendingBytes <= MAX_PENDING_BYTES && !channel.config().isAutoRead) channel.config().isAutoRead = true
    }

    private companion object {
        const val NANOS_PER_MS = 1_000_000L
        const val MS_PER_S = 1_000L
        const val FIRST_FINAL_STATUS = 200

        /** A request sent closer to the server's idle timeout could arrive after the server closed the connection. */
        const val KEEP_ALIVE_MARGIN_MS = 600L

        /** Idle limit for a connection whose server names no idle timeout; servers commonly wait 5 s or more. */
        const val MAX_IDLE_MS = 4_000L

        /** Bytes of a response that are buffered for a slow consumer before reading pauses. */
        const val MAX_PENDING_BYTES = 262_144

        /** Twice the decoder's limit for a head. */
        const val MAX_UNDECODED_BYTES = 16_384

        /** Servers usually send one or two before the final response. */
        const val MAX_INTERIM_RESPONSES = 20

        val METHODS_WITH_BODY = setOf("POST", "PUT", "PATCH")
    }
}

private fun keepAliveSeconds(header: String?): Long? =
    header
        ?.split(',')
        ?.firstOrNull { it.trim().startsWith("timeout=") }
        ?.substringAfter('=')
        ?.trim()
        ?.toLongOrNull()
