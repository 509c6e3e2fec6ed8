/*
 * Outgoing connection of this VM to one peer, with the peer's liveness and pending calls.
 */
package io.guavashore.edge.peers

import io.guavashore.api.Endpoint
import io.guavashore.api.MonotonicClock
import io.guavashore.net.ExchangeFailure
import io.guavashore.net.FrameConnection
import io.guavashore.net.FrameHandler
import io.guavashore.net.ProcessLoop
import io.guavashore.net.connectFrames
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull

/** Connection to the peer at [endpoint]; reconnected by the mesh. Not thread-safe. */
internal class PeerLink(
    private val endpoint: Endpoint,
    private val loop: ProcessLoop,
    private val clock: MonotonicClock,
    private val timing: MeshTiming,
    private val onFrame: FrameHandler,
) {
    private var connection: FrameConnection? = null
    private var sequence = 0L
    private var aliveUntilMs = 0L
    private val pingSentAtMs = HashMap<Long, Long>()
    private var livenessMs = 0L
    private val calls = HashMap<Long, CompletableDeferred<PeerReply>>()

    /** Last heartbeat received from the peer; null before the first. */
    var heartbeat: Heartbeat? = null
        private set

    val address: String get() = endpoint.toString()

    val isOpen: Boolean get() = connection?.isOpen == true

    fun usesConnection(candidate: FrameConnection) = connection === candidate

    fun isAlive() = isOpen && clock() < aliveUntilMs

    suspend fun connect(): Boolean =
        try {
            pingSentAtMs.clear()
            connection = connectFrames(loop, endpoint, timing.connectTimeoutMs, onFrame, ::onClose)
            true
        } catch (e: ExchangeFailure.NotConnected) {
            // Expected while the peer is down; the mesh dials again after its redial interval, so this is not logged.
            false
        }

    /**
     * Sends a ping. If the peer responds, it counts as alive until [livenessMs] after this call. Returns false without
     * sending if the oldest unanswered ping is older than that; the caller should then reopen the connection.
     */
    fun ping(
        heartbeat: Heartbeat,
        livenessMs: Long,
    ): Boolean {
        this.livenessMs = livenessMs
        val oldestMs = pingSentAtMs.values.minOrNull()
        if (oldestMs != null && clock() - oldestMs > livenessMs) return false
        val number = ++sequence
        pingSentAtMs[number] = clock()
        send(PeerMesh.encode(PeerMessage.Ping(number, heartbeat)))
        return true
    }

    fun onPong(pong: PeerMessage.Pong) {
        val sentMs = pingSentAtMs[pong.sequence] ?: return
        pingSentAtMs.keys.removeIf { it <= pong.sequence }
        heartbeat = pong.heartbeat
        aliveUntilMs = sentMs + livenessMs
    }

    fun send(frame: ByteArray) {
        connection?.send(frame)
    }

    /** Calls the peer; null if no reply arrives within [timeoutMs], [PeerReply.NotHere] if the connection closes. */
    suspend fun call(
        call: PeerCall,
        timeoutMs: Long,
    ): PeerReply? {
        val id = ++sequence
        val reply = CompletableDeferred<PeerReply>()
        calls[id] = reply
        try {
            send(PeerMesh.encode(PeerMessage.Call(id, call)))
            return withTimeoutOrNull(timeoutMs) { reply.await() }
        } finally {
            calls.remove(id)
        }
    }

    fun onReply(reply: PeerMessage.Reply) {
        calls[reply.id]?.complete(reply.reply)
    }

    fun close() {
        connection?.close()
        connection = null
    }

    private fun onClose(closed: FrameConnection) {
        if (connection === closed) connection = null
        aliveUntilMs = 0
        calls.values.forEach { it.complete(PeerReply.NotHere) }
    }
}
