/*
 * Event loop of a process: one thread that runs all sockets, timers and decisions.
 *
 * An edge VM has a fraction of a core. There, handing a message from a selector thread to a worker thread costs more
 * than most decisions do. Only this thread accesses the state of the process, so no locks are needed.
 */
package io.guavashore.net

import io.netty.channel.EventLoop
import io.netty.channel.nio.NioEventLoopGroup
import io.netty.util.concurrent.DefaultThreadFactory
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel

/** Event loop of a process and its coroutine scope; [onFailure] is called with uncaught exceptions of coroutines. */
class ProcessLoop(
    onFailure: (Throwable) -> Unit,
) : AutoCloseable {
    private val group = NioEventLoopGroup(1, DefaultThreadFactory("loop", true))
    internal val netty: EventLoop = group.next()

    /** Scope of coroutines that run on the loop's thread. */
    val scope =
        CoroutineScope(
            SupervisorJob() + netty.asCoroutineDispatcher() +
                CoroutineExceptionHandler {
                    _,
                    cause,
                    ->
                    onFailure(cause)
                },
        )

    override fun close() {
        scope.cancel()
        group.shutdownGracefully(0, CLOSE_MS, java.util.concurrent.TimeUnit.MILLISECONDS)
    }

    private companion object {
        /** Time limit for closing sockets when the process ends. */
        const val CLOSE_MS = 200L
    }
}
