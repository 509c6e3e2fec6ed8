/*
 * Length-prefixed frames over TCP, for messages between VMs.
 */
package io.guavashore.net

import io.github.oshai.kotlinlogging.KotlinLogging
import io.guavashore.api.Endpoint
import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandler
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.handler.codec.LengthFieldBasedFrameDecoder
import io.netty.handler.codec.LengthFieldPrepender

private val log = KotlinLogging.logger {}

/** Handles one frame received on a [FrameConnection]. */
typealias FrameHandler = (FrameConnection, ByteArray) -> Unit

/** Connection between two VMs. */
class FrameConnection internal constructor(
    private val onFrame: FrameHandler,
    private val onClose: (FrameConnection) -> Unit,
) : SimpleChannelInboundHandler<ByteBuf>() {
    private lateinit var channel: Channel

    val isOpen: Boolean get() = channel.isActive

    /** Sends [frame]; returns false if the connection is closed or the peer does not keep up with reading. */
    fun send(frame: ByteArray): Boolean {
        if (!channel.isActive) return false
        if (channel.bytesBeforeWritable() > MAX_UNSENT_BYTES) return false
        channel.writeAndFlush(Unpooled.wrappedBuffer(frame))
        return true
    }

    /** Resets the connection, as the peer counts as lost; what was sent last may not arrive. */
    fun close() {
        channel.close()
    }

    /** Ends the connection once the peer has received what was sent. */
    fun endInOrder() = channel.endInOrder()

    override fun handlerAdded(ctx: ChannelHandlerContext) {
        channel = ctx.channel()
    }

    override fun channelRead0(
        ctx: ChannelHandlerContext,
        frame: ByteBuf,
    ) = onFrame(this, ByteBufUtil.getBytes(frame))

    override fun exceptionCaught(
        ctx: ChannelHandlerContext,
        cause: Throwable,
    ) {
        log.warn { "connection to a VM failed, closed: remote=${ctx.channel().remoteAddress()} cause=$cause" }
        ctx.close()
    }

    override fun channelInactive(ctx: ChannelHandlerContext) = onClose(this)

    internal companion object {
        /** The largest frame is an encoded submission with the largest accepted body. */
        private const val MAX_FRAME_BYTES = 64_000_000
        private const val LENGTH_BYTES = 4

        /** Unsent bytes beyond which the peer counts as not reading. */
        private const val MAX_UNSENT_BYTES = 8_000_000L

        fun handlers(connection: FrameConnection): List<ChannelHandler> =
            listOf(
                LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES),
                LengthFieldPrepender(LENGTH_BYTES),
                connection,
            )
    }
}

/** Opens a connection to the VM at [endpoint]; throws [ExchangeFailure.NotConnected] on failure. */
suspend fun connectFrames(
    loop: ProcessLoop,
    endpoint: Endpoint,
    timeoutMs: Long,
    onFrame: FrameHandler,
    onClose: (FrameConnection) -> Unit,
): FrameConnection {
    val connection = FrameConnection(onFrame, onClose)
    dial(loop, endpoint, timeoutMs) { FrameConnection.handlers(connection) }
    return connection
}

/** Accepts connections of other VMs at [endpoint]; returns the bound address. */
suspend fun listenFrames(
    loop: ProcessLoop,
    endpoint: Endpoint,
    onClose: (FrameConnection) -> Unit = {},
    onFrame: FrameHandler,
): Endpoint =
    bind(loop, endpoint) { channel ->
        channel.resetOnClose()
        FrameConnection
            .handlers(FrameConnection(onFrame, onClose))
            .forEach { channel.pipeline().addLast(it) }
    }
