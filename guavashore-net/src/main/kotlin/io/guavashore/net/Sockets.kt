/*
 * Opens and accepts TCP connections on the event loop of the process.
 */
package io.guavashore.net

import io.guavashore.api.Endpoint
import io.netty.bootstrap.Bootstrap
import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.AdaptiveRecvByteBufAllocator
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandler
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.socket.nio.NioChannelOption
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import jdk.net.ExtendedSocketOptions
import kotlinx.coroutines.suspendCancellableCoroutine
import java.net.InetSocketAddress
import kotlin.coroutines.resume

/**
 * Opens a channel with the given handlers; throws [ExchangeFailure.NotConnected] on failure.
 *
 * However the channel ends, also with its process, it is reset: otherwise the kernel would go on delivering what a
 * partition holds up, long after its sender was succeeded. See [endInOrder] for channels with nothing under way.
 */
internal suspend fun dial(
    loop: ProcessLoop,
    endpoint: Endpoint,
    timeoutMs: Long,
    handlers: () -> List<ChannelHandler>,
): Channel {
    val future = bootstrap(loop, timeoutMs, handlers).connect(endpoint.host, endpoint.port)
    future.awaitCompletion()
    if (!future.isSuccess) throw ExchangeFailure.NotConnected("$endpoint: ${future.cause().message}")
    return future.channel()
}

private fun bootstrap(
    loop: ProcessLoop,
    timeoutMs: Long,
    handlers: () -> List<ChannelHandler>,
) = Bootstrap()
    .group(loop.netty)
    .channel(NioSocketChannel::class.java)
    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMs.coerceAtLeast(1).toInt())
    .option(ChannelOption.TCP_NODELAY, true)
    .option(ChannelOption.RCVBUF_ALLOCATOR, singleReadAllocator())
    .option(ChannelOption.SO_LINGER, RESET_ON_CLOSE)
    .option(ChannelOption.SO_KEEPALIVE, true)
    .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEPALIVE_IDLE_S)
    .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), KEEPALIVE_INTERVAL_S)
    .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEPALIVE_PROBES)
    .handler(
        object : ChannelInitializer<Channel>() {
            override fun initChannel(channel: Channel) {
                handlers().forEach { channel.pipeline().addLast(it) }
            }
        },
    )

/** Listens at [endpoint] and sets up accepted channels with [initialize]; returns the bound address. */
internal suspend fun bind(
    loop: ProcessLoop,
    endpoint: Endpoint,
    initialize: (Channel) -> Unit,
): Endpoint {
    val future =
        ServerBootstrap()
            .group(loop.netty)
            .channel(NioServerSocketChannel::class.java)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.RCVBUF_ALLOCATOR, singleReadAllocator())
            .childHandler(
                object : ChannelInitializer<Channel>() {
                    override fun initChannel(channel: Channel) = initialize(channel)
                },
            ).bind(endpoint.host, endpoint.port)
    future.awaitCompletion()
    if (!future.isSuccess) throw java.io.IOException("cannot listen at $endpoint: ${future.cause().message}")
    return endpoint.copy(port = (future.channel().localAddress() as InetSocketAddress).port)
}

/** Makes this channel reset on its end, as channels of [dial] are. */
internal fun Channel.resetOnClose() {
    config().setOption(ChannelOption.SO_LINGER, RESET_ON_CLOSE)
}

/** Closes this channel without a reset, so that the other side does not take its end for a failure. */
internal fun Channel.endInOrder() {
    if (isOpen) config().setOption(ChannelOption.SO_LINGER, NO_LINGER)
    close()
}

private suspend fun ChannelFuture.awaitCompletion() =
    suspendCancellableCoroutine { continuation ->
        addListener { continuation.resume(Unit) }
        continuation.invokeOnCancellation { channel().close() }
    }

/** Allows one small read per connection and turn, so that a connection with constant traffic does not delay others. */
private fun singleReadAllocator() =
    AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES).maxMessagesPerRead(1)

/** Values of SO_LINGER. */
private const val RESET_ON_CLOSE = 0
private const val NO_LINGER = -1

private const val MIN_READ_BYTES = 64
private const val INITIAL_READ_BYTES = 2_048
private const val MAX_READ_BYTES = 4_096

/** Keep-alive probes detect a peer that vanished without a reset within 3 s, the shortest limit that operators set. */
private const val KEEPALIVE_IDLE_S = 1
private const val KEEPALIVE_INTERVAL_S = 1
private const val KEEPALIVE_PROBES = 2

/** Connections that callers may open in one burst before the loop accepts them. */
private const val BACKLOG = 512
