/*
 * The one thread that runs sockets, timers and decisions of a process.
 *
 * An edge VM has a fraction of one core: handing a message from a selector thread to a worker thread costs more there
 * than most decisions do. All state of the process belongs to this thread, so nothing needs a lock.
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

/** Event loop of a process and the scope of the work on it; [onFailure] hears of work that failed unexpectedly. */
class ProcessLoop(
    onFailure: (Throwable) -> Unit,
) : AutoCloseable {
    private val group = NioEventLoopGroup(1, DefaultThreadFactory("loop", true))
    internal val netty: EventLoop = group.next()

    /** Runs coroutines on the loop's thread. */
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
        /** Upper bound for closing sockets at the process's end. */
        const val CLOSE_MS = 200L
    }
}
