/*
 * Connections to targets, kept for reuse. A new connection has a price and takes a slot of its target for a moment.
 */
package io.guavashore.edge.targets

import io.guavashore.api.TargetId
import io.guavashore.edge.declared.TargetEntry
import io.guavashore.net.ResponseHead
import io.guavashore.net.HttpConnection
import io.guavashore.net.HttpDialer

/** Idle connections by target. Not thread-safe. */
class TargetConnectionPool(
    private val dialer: HttpDialer,
    /** A link between zones answers within a few milliseconds; a dropped opening packet is sent again after 1 s. */
    private val connectTimeoutMs: Long = 400,
    /** Hears of the head of each answer, whatever it answers, before anyone acts on it. */
    private val onResponseHead: (TargetId, ResponseHead) -> Unit = { _, _ -> },
) {
    private val idle = HashMap<TargetId, ArrayDeque<HttpConnection>>()

    /**
     * A connection that can take a request now, the one used last first.
     *
     * @param fresh true to open a new one: a kept connection may be closed by its target just as a request arrives,
     * and then nobody knows whether that request ran
     */
    suspend fun take(
        target: TargetEntry,
        fresh: Boolean = false,
    ): HttpConnection {
        val now = System.nanoTime()
        val kept = idle[target.id]
        while (!fresh && !kept.isNullOrEmpty()) {
            val connection = kept.removeLast()
            if (connection.isReusable(now)) return connection
            connection.close()
        }
        val connection = dialer.connect(target.endpoint, connectTimeoutMs)
        connection.onHead = { onResponseHead(target.id, it) }
        return connection
    }

    /** Keeps [connection] if its last answer is complete, else closes it. */
    fun release(
        target: TargetId,
        connection: HttpConnection,
    ) {
        if (!connection.isReusable(System.nanoTime())) return connection.close()
        val kept = idle.getOrPut(target) { ArrayDeque() }
        kept.addLast(connection)
        if (kept.size > MOST_IDLE) kept.removeFirst().close()
    }

    /** Closes connections to targets that are gone. */
    fun retain(targets: Set<TargetId>) {
        val gone = idle.keys - targets
        gone.forEach { id -> idle.remove(id)?.forEach { it.close() } }
    }

    private companion object {
        /** One for each slot of the largest engine, and some. */
        const val MOST_IDLE = 16
    }
}
