/*
 * Counts received bytes that the decoder does not turn into messages, and reports them to the connection. Netty's
 * decoder silently skips any number of empty lines before a response, so a server could send them without end.
 */
package io.guavashore.net

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter

internal class UndecodedByteCounter(
    private val connection: HttpConnection,
) : ChannelInboundHandlerAdapter() {
    private var undecodedBytes = 0

    override fun channelRead(
        ctx: ChannelHandlerContext,
        msg: Any,
    ) {
        val bytes = (msg as? ByteBuf)?.readableBytes() ?: 0
        val before = connection.messagesDecoded
        ctx.fireChannelRead(msg)
        undecodedBytes = if (connection.messagesDecoded > before) 0 else undecodedBytes + bytes
        if (undecodedBytes > 0) connection.undecodedBytesReceived(undecodedBytes)
    }
}
