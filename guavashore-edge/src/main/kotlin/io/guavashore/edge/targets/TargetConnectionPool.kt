/*
 * Pool of connections to targets. A new connection briefly occupies a slot of the target. The pool also tells in which
 * zones requests of this VM run, since every request holds a connection until it has ended.
 */
package io.guavashore.edge.targets

import io.guavashore.api.TargetId
import io.guavashore.api.ZoneId
import io.guavashore.edge.declared.TargetEntry
import io.guavashore.net.Dial
import io.guavashore.net.HttpConnection
import io.guavashore.net.ResponseHead
import java.util.IdentityHashMap

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
    private val zonesByConnection = IdentityHashMap<HttpConnection, ZoneId>()

    /** Returns a connection to [target] for the request [requestId]; see [ConnectionPool.take]. */
    suspend fun take(
        target: TargetEntry,
        requestId: String?,
        forceNew: Boolean = false,
    ): HttpConnection =
        take(target.id, target.endpoint, requestId, forceNew).also { zonesByConnection[it] = target.zone }

    override fun release(
        key: TargetId,
        connection: HttpConnection,
    ) {
        zonesByConnection -= connection
        super.release(key, connection)
    }

    /** Zones to whose targets this VM has an open connection that is in use. */
    fun zonesInUse(): Set<ZoneId> {
        zonesByConnection.keys.removeIf { !it.isOpen }
        return zonesByConnection.values.toSet()
    }

    /** Waits for the response to the request that was sent last on [connection]; see [receiveHead]. */
    suspend fun receiveHead(
        target: TargetId,
        connection: HttpConnection,
    ): ReceivedResponse? = connection.receiveHead("target=$target", metadataOf)?.also { onResponse(target, it) }
}
