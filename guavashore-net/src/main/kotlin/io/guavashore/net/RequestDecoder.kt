/*
 * Decoder of callers' requests that rejects bodies whose end another recipient could find elsewhere. Netty's decoder
 * ignores a Content-Length beside Transfer-Encoding, the upper bits of a chunk's size, and text after that size.
 */
package io.guavashore.net

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.DecoderResult
import io.netty.handler.codec.http.DefaultLastHttpContent
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpRequestDecoder
import io.netty.handler.codec.http.HttpUtil

/** Decoder of the requests on one caller's connection. */
internal class RequestDecoder(
    config: HttpDecoderConfig,
) : HttpRequestDecoder(config) {
    /** Bytes until the next line that states the size of a chunk; null unless a chunk follows. */
    private var bytesToSizeLine: Long? = null
    private var hasFailed = false

    override fun decode(
        ctx: ChannelHandlerContext,
        buffer: ByteBuf,
        out: MutableList<Any>,
    ) {
        if (!hasFailed && bytesToSizeLine == 0L) checkSizeLine(buffer, out)
        if (hasFailed) {
            buffer.skipBytes(buffer.readableBytes())
            return
        }
        val start = buffer.readerIndex()
        super.decode(ctx, buffer, out)
        bytesToSizeLine = bytesToSizeLine?.minus(buffer.readerIndex() - start)
        val decoded = out.lastOrNull()
        if (decoded is HttpRequest && HttpUtil.isTransferEncodingChunked(decoded)) bytesToSizeLine = 0
    }

    private fun checkSizeLine(
        buffer: ByteBuf,
        out: MutableList<Any>,
    ) {
        val end = buffer.indexOf(buffer.readerIndex(), buffer.writerIndex(), LINE_FEED)
        if (end < 0) return
        val line = buffer.toString(buffer.readerIndex(), end + 1 - buffer.readerIndex(), Charsets.ISO_8859_1)
        val chunkBytes = SIZE_LINE.matchEntire(line)?.let { it.groupValues[1].toLong(HEXADECIMAL) }
        if (chunkBytes == null) {
            hasFailed = true
            out += DefaultLastHttpContent().apply { decoderResult = INVALID_SIZE_LINE }
        }
        bytesToSizeLine = chunkBytes?.takeIf { it > 0 }?.let { line.length + it + END_OF_CHUNK_BYTES }
    }

    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage) =
        throw IllegalArgumentException("both Content-Length and Transfer-Encoding")

    private companion object {
        const val LINE_FEED = '\n'.code.toByte()
        const val HEXADECIMAL = 16
        const val END_OF_CHUNK_BYTES = 2

        /** Seven digits without the leading zeros are more than any limit on bodies. */
        val SIZE_LINE = Regex("(0*[0-9A-Fa-f]{1,7})[ \t]*(;[\t\\x20-\\x7e\\x80-\\xff]*)?\r\n")
        val INVALID_SIZE_LINE: DecoderResult =
            DecoderResult.failure(IllegalArgumentException("invalid size of a chunk"))
    }
}
