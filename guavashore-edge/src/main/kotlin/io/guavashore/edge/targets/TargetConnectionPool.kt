/*
 * Pool of connections to targets. A new connection briefly occupies a slot of the target.
 *
 * A faulty target may send a second copy of a response, late, where the response to the next request is due. Nothing is
 * taken from a response before its id has been compared with that of the request. One without an id could belong to any
 * request that the connection has carried.
 */
package io.guavashore.edge.targets

import io.github.oshai.kotlinlogging.KotlinLogging
import io.guavashore.api.TargetId
import io.guavashore.edge.declared.TargetEntry
import io.guavashore.net.Dial
import io.guavashore.net.HttpConnection
import io.guavashore.net.ResponseHead

private val log = KotlinLogging.logger {}

/**
 * Beginning of a target's response; the body is read from the connection.
 *
 * @property exchangeNumber number of the request to which this is the response on its connection, counted from 1
 */
data class ReceivedResponse(
    val head: ResponseHead,
    val metadata: ResponseMetadata,
    val exchangeNumber: Int,
)

/** Fields of log lines about this response; null if there was none. */
internal fun ReceivedResponse?.logFields(): String =
    "status=${this?.head?.status} response_to=${this?.metadata?.requestId} exchange=${this?.exchangeNumber} " +
        "receipt=${this?.metadata?.receipt}"

/**
 * Pool of idle connections by target. Not thread-safe.
 *
 * @param onResponse called with the beginning of each response, unless it may belong to another request
 */
class TargetConnectionPool(
    dial: Dial,
    private val metadataOf: (ResponseHead) -> ResponseMetadata,
    onOpen: (OpenReason) -> Unit = {},
    private val onResponse: (TargetId, ReceivedResponse) -> Unit = { _, _ -> },
) : ConnectionPool<TargetId>(dial, onOpen = onOpen) {
    /** Returns a connection to [target] for the request [requestId]; see [ConnectionPool.take]. */
    suspend fun take(
        target: TargetEntry,
        requestId: String?,
        forceNew: Boolean = false,
    ): HttpConnection = take(target.id, target.endpoint, requestId, forceNew)

    /**
     * Waits for the response to the request that was sent last on [connection]. Returns null, and closes the
     * connection, if the response may belong to another one: if it states another id, or none on a connection that has
     * carried other requests, unless the request has none either.
     */
    suspend fun receiveHead(
        target: TargetId,
        connection: HttpConnection,
    ): ReceivedResponse? {
        val head = connection.head()
        val metadata = metadataOf(head)
        val statedId = metadata.requestId
        val isOnlyOne = statedId == null && connection.isFirstExchange
        if (statedId != connection.requestId && !isOnlyOne) {
            log.warn {
                "response to another request, connection closed: target=$target status=${head.status} " +
                    "request=${connection.requestId} response_to=$statedId exchange=${connection.exchangeNumber}"
            }
            connection.close()
            return null
        }
        return ReceivedResponse(head, metadata, connection.exchangeNumber).also { onResponse(target, it) }
    }
}
