/*
 * The open connections between this VM and its peers, whichever side has opened them.
 */
package io.guavashore.edge.peers

import io.guavashore.net.FrameConnection

/** Connections of one VM. Not thread-safe. */
internal class PeerConnections {
    private val exchanges = HashMap<FrameConnection, HeartbeatExchange>()
    private val sharing = HashMap<FrameConnection, PeerLink>()

    /** Number of open connections. */
    val open: Int get() = exchanges.keys.count { it.isOpen }

    /** Heartbeats of both directions of [connection]. */
    fun exchangeOn(connection: FrameConnection): HeartbeatExchange =
        exchanges.getOrPut(connection) { HeartbeatExchange() }

    /** Link that uses [connection], which the peer has opened; null if none does. */
    fun linkSharing(connection: FrameConnection): PeerLink? = sharing[connection]

    /** Records that [link] uses [connection], which the peer has opened. */
    fun share(
        connection: FrameConnection,
        link: PeerLink,
    ) {
        sharing[connection] = link
    }

    /** To be called when a connection that a peer has opened has closed. */
    fun onAcceptedClosed(connection: FrameConnection) {
        remove(connection)
        sharing.remove(connection)?.onClose(connection)
    }

    fun remove(connection: FrameConnection) {
        exchanges.remove(connection)
    }
}
