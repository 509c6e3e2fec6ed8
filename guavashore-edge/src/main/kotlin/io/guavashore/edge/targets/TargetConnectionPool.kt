/*
 * Pool of connections to targets. A new connection briefly occupies a slot of the target.
 */
package io.guavashore.edge.targets

import io.guavashore.api.TargetId
import io.guavashore.edge.declared.TargetEntry
import io.guavashore.net.Dial
import io.guavashore.net.HttpConnection
import io.guavashore.net.ResponseHead

/** Pool of idle connections by target. Not thread-safe. */
class TargetConnectionPool(
    dial: Dial,
    onResponseHead: (TargetId, ResponseHead) -> Unit = { _, _ -> },
) : ConnectionPool<TargetId>(dial, onResponseHead = onResponseHead) {
    /** Returns a connection to [target]; see [ConnectionPool.take]. */
    suspend fun take(
        target: TargetEntry,
        forceNew: Boolean = false,
    ): HttpConnection = take(target.id, target.endpoint, forceNew)
}
