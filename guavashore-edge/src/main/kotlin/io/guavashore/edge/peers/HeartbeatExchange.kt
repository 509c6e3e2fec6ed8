/*
 * Sends a heartbeat in full only if it differs from the last one sent on the same connection; else a short message
 * repeats it. A connection delivers in order, so the receiver still has the one that is repeated.
 */
package io.guavashore.edge.peers

/** Heartbeats of both directions of one connection. Not thread-safe. */
internal class HeartbeatExchange {
    private var sent: Heartbeat? = null

    /** Last heartbeat received in full; null before the first. */
    var received: Heartbeat? = null
        private set

    /** Sends [heartbeat] with [send], in full or as a repetition; [send] returns false if the message is dropped. */
    fun send(
        heartbeat: Heartbeat,
        full: () -> PeerMessage,
        repeated: () -> PeerMessage,
        send: (PeerMessage) -> Boolean,
    ): Boolean {
        if (isRepetition(heartbeat)) return send(repeated())
        val isSent = send(full())
        sent = heartbeat.takeIf { isSent }
        return isSent
    }

    fun onFull(heartbeat: Heartbeat) {
        received = heartbeat
    }

    /** The heartbeat that the peer repeats at its wall-clock time [wallMs]; null if it has not sent one. */
    fun onRepeated(wallMs: Long): Heartbeat? = received?.copy(wallMs = wallMs)

    private fun isRepetition(heartbeat: Heartbeat): Boolean =
        received?.acceptsRepeated == true && sent?.isSameState(heartbeat) == true
}

/** True if [other] differs from this heartbeat in its time at most. */
internal fun Heartbeat.isSameState(other: Heartbeat): Boolean = copy(wallMs = other.wallMs) == other
