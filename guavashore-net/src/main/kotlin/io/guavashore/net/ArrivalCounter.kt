/*
 * Tells a connection of the bytes that arrive, whether or not they become messages: the decoder passes over empty lines
 * before an answer without end and without a word.
 */
package io.guavashore.net

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter

internal class ArrivalCounter(
    private val connection: HttpConnection,
) : ChannelInboundHandlerAdapter() {
    private var bytesWithoutMessage = 0

    override fun channelRead(
        ctx: ChannelHandlerContext,
        msg: Any,
    ) {
        val bytes = (msg as? ByteBuf)?.readableBytes() ?: 0
        val before = connection.messagesRead
        ctx.fireChannelRead(msg)
        bytesWithoutMessage = if (connection.messagesRead > before) 0 else bytesWithoutMessage + bytes
        if (bytesWithoutMessage > 0) connection.noMessageIn(bytesWithoutMessage)
    }
}
