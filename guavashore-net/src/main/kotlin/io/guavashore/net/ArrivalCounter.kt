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
    override fun channelRead(
        ctx: ChannelHandlerContext,
        msg: Any,
    ) {
        val bytes = (msg as? ByteBuf)?.readableBytes() ?: 0
        connection.arriving(bytes)
        ctx.fireChannelRead(msg)
        connection.arrived()
    }
}
