/*
 * Pool of connections to targets. Connections are reused because opening one is costly and briefly occupies a slot of
 * the target.
 */
package io.guavashore.edge.targets

import io.guavashore.api.TargetId
import io.guavashore.edge.declared.TargetEntry
import io.guavashore.net.HttpConnection
import io.guavashore.net.HttpDialer
import io.guavashore.net.ResponseHead

/** Pool of idle connections by target. Not thread-safe. */
class TargetConnectionPool(
    private val dialer: HttpDialer,
    /** Connecting between zones takes a few milliseconds; a lost SYN packet is sent again only after 1 s. */
    private val connectTimeoutMs: Long = 400,
    /** Called with the head of every response before the response is processed. */
    private val onResponseHead: (TargetId, ResponseHead) -> Unit = { _, _ -> },
) {
    private val idle = HashMap<TargetId, ArrayDeque<HttpConnection>>()

    /**
     * Returns a connection that is ready for a request, preferring the one used last.
     *
     * @param forceNew true to open a new connection: the target may close a pooled one just as a request arrives, and
     * it is then unknown whether that request ran
     */
    suspend fun take(
        target: TargetEntry,
        forceNew: Boolean = false,
    ): HttpConnection {
        val now = System.nanoTime()
        val pooled = idle[target.id]
        while (!forceNew && !pooled.isNullOrEmpty()) {
            val connection = pooled.removeLast()
            if (connection.isReusable(now)) return connection
            connection.close()
        }
        val connection = dialer.connect(target.endpoint, connectTimeoutMs)
        connection.onHead = { onResponseHead(target.id, it) }
        return connection
    }

    /** Returns [connection] to the pool if it can be reused, else closes it. */
    fun release(
        target: TargetId,
        connection: HttpConnection,
    ) {
        if (!connection.isReusable(System.nanoTime())) return connection.close()
        val pooled = idle.getOrPut(target) { ArrayDeque() }
        pooled.addLast(connection)
        if (pooled.size > MAX_IDLE_PER_TARGET) pooled.removeFirst().close()
    }

    /** Closes the connections to all targets that are not in [targets]. */
    fun retain(targets: Set<TargetId>) {
        val removed = idle.keys - targets
        removed.forEach { id -> idle.remove(id)?.forEach { it.close() } }
    }

    private companion object {
        /** Somewhat more than the slots of the largest engine. */
        const val MAX_IDLE_PER_TARGET = 16
    }
}
