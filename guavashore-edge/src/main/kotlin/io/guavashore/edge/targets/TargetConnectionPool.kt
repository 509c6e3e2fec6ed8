/*
 * Pool of connections to targets. A new connection briefly occupies a slot of the target.
 */
package io.guavashore.edge.targets

import io.guavashore.api.TargetId
import io.guavashore.edge.declared.TargetEntry
import io.guavashore.net.Dial
import io.guavashore.net.HttpConnection
import io.guavashore.net.ResponseHead

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

    /** Waits for the response to the request that was sent last on [connection]; see [receiveHead]. */
    suspend fun receiveHead(
        target: TargetId,
        connection: HttpConnection,
    ): ReceivedResponse? = connection.receiveHead("target=$target", metadataOf)?.also { onResponse(target, it) }
}
