/*
 * Pool of HTTP connections. Connections are reused because opening one is costly.
 */
package io.guavashore.edge.targets

import io.github.oshai.kotlinlogging.KotlinLogging
import io.guavashore.api.Endpoint
import io.guavashore.net.Dial
import io.guavashore.net.HttpConnection

private val log = KotlinLogging.logger {}

/** Reason why a connection is opened. */
enum class OpenReason { NONE_IDLE, ALL_SENT_ID, REQUESTED }

/** Pool of idle connections by the server's key. Not thread-safe. */
open class ConnectionPool<K>(
    private val dial: Dial,
    /** Connecting between zones takes a few milliseconds; a lost SYN packet is sent again only after 1 s. */
    private val connectTimeoutMs: Long = 400,
    /** Called before a connection is opened. */
    private val onOpen: (OpenReason) -> Unit = {},
) {
    private val idle = HashMap<K, ArrayDeque<HttpConnection>>()

    /**
     * Returns a connection to the server [key] at [endpoint] that is ready for the request [requestId], preferring the
     * one used last. A connection that ever carried a request with this id is left out: a late duplicate of its
     * response could not be told from the response to the new request.
     *
     * @param forceNew true to open a new connection: the server may close a pooled one just as a request arrives, and
     * it is then unknown whether that request ran
     */
    suspend fun take(
        key: K,
        endpoint: Endpoint,
        requestId: String?,
        forceNew: Boolean = false,
    ): HttpConnection {
        val pooled = if (forceNew) null else takeIdle(key, requestId)
        if (pooled != null) return pooled
        onOpen(openReason(key, requestId, forceNew))
        return dial(endpoint, connectTimeoutMs)
    }

    private fun takeIdle(
        key: K,
        requestId: String?,
    ): HttpConnection? {
        val pooled = idle[key] ?: return null
        val now = System.nanoTime()
        val expired = pooled.filterNot { it.isReusable(now) }
        expired.forEach { it.close() }
        pooled.removeAll(expired)
        val index = pooled.indexOfLast { requestId !in it.sentIds }
        return if (index < 0) null else pooled.removeAt(index)
    }

    private fun openReason(
        key: K,
        requestId: String?,
        forceNew: Boolean,
    ): OpenReason {
        if (forceNew) return OpenReason.REQUESTED
        val leftOut = idle[key].orEmpty().size
        if (leftOut == 0) return OpenReason.NONE_IDLE
        log.info { "connections left out, all have carried this id: server=$key request=$requestId count=$leftOut" }
        return OpenReason.ALL_SENT_ID
    }

    /** Returns [connection] to the pool if it can be reused, else closes it. */
    open fun release(
        key: K,
        connection: HttpConnection,
    ) {
        if (!connection.isReusable(System.nanoTime())) return connection.close()
        val pooled = idle.getOrPut(key) { ArrayDeque() }
        pooled.addLast(connection)
        if (pooled.size > MAX_IDLE_PER_SERVER) pooled.removeFirst().close()
    }

    /** Closes the connections to all servers that are not in [keys]. */
    fun retain(keys: Set<K>) {
        val removed = idle.keys - keys
        removed.forEach { key -> idle.remove(key)?.forEach { it.close() } }
    }

    private companion object {
        /** Somewhat more than the slots of the largest engine. */
        const val MAX_IDLE_PER_SERVER = 16
    }
}
