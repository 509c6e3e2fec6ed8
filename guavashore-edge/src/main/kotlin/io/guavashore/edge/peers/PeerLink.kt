/*
 * Connection that this VM keeps to one peer.
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

internal class PeerLink(
    private val endpoint: Endpoint,
    private val loop: ProcessLoop,
    private val clock: MonotonicClock,
    private val times: MeshTimes,
    private val onFrame: FrameHandler,
) {
    private var connection: FrameConnection? = null
    private var sequence = 0L
    private var aliveUntilMs = 0L
    private val sentAtMs = HashMap<Long, Long>()
    private var aliveForMs = 0L
    private val calls = HashMap<Long, CompletableDeferred<PeerReply>>()

    /** What the peer last said of itself. */
    var pulse: Heartbeat? = null
        private set

    val address: String get() = endpoint.toString()

    val isOpen: Boolean get() = connection?.isOpen == true

    fun owns(candidate: FrameConnection) = connection === candidate

    fun isAlive() = isOpen && clock() < aliveUntilMs

    suspend fun connect(): Boolean =
        try {
            sentAtMs.clear()
            connection = connectFrames(loop, endpoint, times.connectTimeoutMs, onFrame, ::onClose)
            true
        } catch (e: ExchangeFailure.NotConnected) {
            // Expected while the peer is down; the mesh dials again and logs a peer only when it is found or lost.
            false
        }

    /**
     * Sends a ping, whose answer shows the peer to be alive for [aliveForMs]; false if the connection has been silent
     * for longer than that and should be opened anew.
     */
    fun ping(
        pulse: Heartbeat,
        aliveForMs: Long,
    ): Boolean {
        this.aliveForMs = aliveForMs
        val oldest = sentAtMs.values.minOrNull()
        if (oldest != null && clock() - oldest > aliveForMs) return false
        val number = ++sequence
        sentAtMs[number] = clock()
        send(PeerMesh.encode(PeerMessage.Ping(number, pulse)))
        return true
    }

    fun onPong(pong: PeerMessage.Pong) {
        val sentMs = sentAtMs[pong.sequence] ?: return
        sentAtMs.keys.removeIf { it <= pong.sequence }
        pulse = pong.pulse
        aliveUntilMs = sentMs + aliveForMs
    }

    fun send(frame: ByteArray) {
        connection?.send(frame)
    }

    /** Calls the peer; null without an answer. */
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
