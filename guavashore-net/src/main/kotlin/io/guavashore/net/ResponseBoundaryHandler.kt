/*
 * Closes a connection if a response begins within another one. A faulty server may break off a response and send the
 * next one directly after it; the decoder would make one message of the two.
 *
 * Bytes that may be the start of a response are held back until that is known, for a short time only: they may also
 * be the end of a body.
 */
package io.guavashore.net

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit

/** Handler in front of the decoder of [connection]. */
internal class ResponseBoundaryHandler(
    private val connection: HttpConnection,
) : ChannelInboundHandlerAdapter() {
    /** Bytes from a possible start of a response on; those before the reader index have been passed on. */
    private var held: ByteBuf? = null
    private var holdEnd: ScheduledFuture<*>? = null

    private var exchangeNumber = 0
    private var bytesInExchange = 0L

    /** The last four bytes that were passed on. */
    private var lastBytes = 0

    override fun channelRead(
        ctx: ChannelHandlerContext,
        msg: Any,
    ) {
        if (exchangeNumber != connection.exchangeNumber) exchangeBegun()
        val received = msg as ByteBuf
        val searchFrom = if (held == null) received.readerIndex() else 0
        val bytes = append(ctx, received)
        try {
            read(ctx, bytes, searchFrom)
        } finally {
            bytes.release()
        }
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        held?.let { passOn(ctx, it, it.writerIndex()) }
        releaseHeld()
        ctx.fireChannelInactive()
    }

    override fun handlerRemoved(ctx: ChannelHandlerContext) = releaseHeld()

    private fun exchangeBegun() {
        exchangeNumber = connection.exchangeNumber
        bytesInExchange = 0
        releaseHeld()
    }

    private fun append(
        ctx: ChannelHandlerContext,
        received: ByteBuf,
    ): ByteBuf {
        val before = held ?: return received
        holdEnd?.cancel(false)
        held = null
        val readIndex = before.readerIndex()
        val all = ctx.alloc().buffer(before.writerIndex() + received.readableBytes())
        all.writeBytes(before, 0, before.writerIndex()).writeBytes(received).readerIndex(readIndex)
        before.release()
        received.release()
        return all
    }

    private fun read(
        ctx: ChannelHandlerContext,
        bytes: ByteBuf,
        searchFrom: Int,
    ) {
        var start = ResponseStart.find(bytes, searchFrom)
        while (start != null) {
            passOn(ctx, bytes, start.index)
            if (isWithinResponse(bytes, start.index)) {
                if (start.isCertain) connection.closeWith(JOINED) else hold(ctx, bytes, start.index)
                return
            }
            start = ResponseStart.find(bytes, start.index + 1)
        }
        passOn(ctx, bytes, bytes.writerIndex())
    }

    /** True if a message that has not ended yet began before [index], the next byte to be passed on. */
    private fun isWithinResponse(
        bytes: ByteBuf,
        index: Int,
    ): Boolean {
        if (!connection.isResponseDue) return false
        if (bytes.readerIndex() > index) return true
        val followsInterimResponse = connection.isInterimResponseComplete && lastBytes == END_OF_HEAD
        return bytesInExchange > 0 && !followsInterimResponse
    }

    private fun passOn(
        ctx: ChannelHandlerContext,
        bytes: ByteBuf,
        end: Int,
    ) {
        val count = end - bytes.readerIndex()
        if (count <= 0) return
        bytesInExchange += count
        for (index in maxOf(bytes.readerIndex(), end - Int.SIZE_BYTES) until end) {
            lastBytes = (lastBytes shl Byte.SIZE_BITS) or bytes.getUnsignedByte(index).toInt()
        }
        ctx.fireChannelRead(bytes.readRetainedSlice(count))
    }

    private fun hold(
        ctx: ChannelHandlerContext,
        bytes: ByteBuf,
        index: Int,
    ) {
        val rest = bytes.copy(index, bytes.writerIndex() - index).readerIndex(bytes.readerIndex() - index)
        held = rest
        val end = Runnable { passOn(ctx, rest, rest.writerIndex()) }
        holdEnd = ctx.executor().schedule(end, HOLD_MS, TimeUnit.MILLISECONDS)
    }

    private fun releaseHeld() {
        holdEnd?.cancel(false)
        held?.release()
        held = null
    }

    private companion object {
        /** Longer than the gap between two segments of one write; delays bodies that end like a status line begins. */
        const val HOLD_MS = 20L

        const val JOINED = "another response begins within it"

        /** `CR LF CR LF` */
        const val END_OF_HEAD = 0x0D0A0D0A
    }
}
