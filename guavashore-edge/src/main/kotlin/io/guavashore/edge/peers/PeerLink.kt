/*
 * Connection of this VM to one peer, with the peer's liveness and pending calls. The connection is one that this VM has
 * opened, or one that the peer has opened and both share.
 */
package io.guavashore.edge.peers

import io.guavashore.api.Endpoint
import io.guavashore.api.MonotonicClock
import io.guavashore.net.ExchangeFailure
import io.guavashore.net.FrameConnection
import io.guavashore.net.ProcessLoop
import io.guavashore.net.connectFrames
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull

/** Handles a frame that the peer of [link] has sent on [connection]. */
internal typealias LinkFrameHandler = (link: PeerLink, connection: FrameConnection, frame: ByteArray) -> Unit

/**
 * Connection to the peer at [endpoint]; reconnected by the mesh. Not thread-safe.
 *
 * @param onChange called when the link has closed or come alive, or its heartbeat has changed
 */
internal class PeerLink(
    private val endpoint: Endpoint,
    private val loop: ProcessLoop,
    private val clock: MonotonicClock,
    private val timing: MeshTiming,
    private val onFrame: LinkFrameHandler,
    private val connections: PeerConnections,
    private val onChange: () -> Unit,
) {
    private var connection: FrameConnection? = null
    private var sequence = 0L
    private val pingSentAtMs = HashMap<Long, Long>()
    private var livenessMs = 0L
    private val calls = HashMap<Long, CompletableDeferred<PeerReply?>>()

    /** True if the peer has opened the connection, and pings on it. */
    var isShared = false
        private set

    /** Monotonic time until which the peer counts as alive, as long as the connection is open. */
    var aliveUntilMs = 0L
        private set

    /** Heartbeat that the peer sent when its state last changed; null before the first. */
    var heartbeat: Heartbeat? = null
        private set

    val address: String get() = endpoint.toString()

    val isOpen: Boolean get() = connection?.isOpen == true

    fun isAlive() = isOpen && clock() < aliveUntilMs

    suspend fun connect(): Boolean =
        try {
            val handler = { connection: FrameConnection, frame: ByteArray -> onFrame(this, connection, frame) }
            val opened = connectFrames(loop, endpoint, timing.connectTimeoutMs, handler, ::onClose)
            if (isOpen) opened.endInOrder() else use(opened, isShared = false)
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
        val current = connection ?: return false
        val number = ++sequence
        pingSentAtMs[number] = clock()
        connections.exchangeOn(current).send(
            heartbeat,
            full = { PeerMessage.Ping(number, heartbeat) },
            repeated = { PeerMessage.RepeatedPing(number, heartbeat.wallMs) },
            send = { send(PeerMesh.encode(it)) },
        )
        return true
    }

    /** Handles the pong to ping [number], with the heartbeat [received]. */
    fun onPong(
        number: Long,
        received: Heartbeat,
    ) {
        val sentMs = pingSentAtMs[number] ?: return
        pingSentAtMs.keys.removeIf { it <= number }
        onHeartbeat(received, sentMs + livenessMs)
    }

    /**
     * Uses [opened], on which the peer has sent [received], in place of the connection that this VM has opened. The
     * peer counts as alive until [livenessMs] after this call, as it goes on only while it gets pongs.
     */
    fun share(
        opened: FrameConnection,
        received: Heartbeat,
        livenessMs: Long,
    ) {
        val own = connection
        if (own !== opened) {
            use(opened, isShared = true)
            own?.endInOrder()
        }
        onHeartbeat(received, maxOf(aliveUntilMs, clock() + livenessMs))
    }

    private fun onHeartbeat(
        received: Heartbeat,
        aliveUntilMs: Long,
    ) {
        val wasAlive = isAlive()
        val isUnchanged = heartbeat?.isSameState(received) == true
        if (!isUnchanged) heartbeat = received
        this.aliveUntilMs = aliveUntilMs
        if (!wasAlive || !isUnchanged) onChange()
    }

    /** True unless a call waits for its reply on the present connection. */
    fun isIdle(): Boolean = calls.isEmpty()

    fun uses(candidate: FrameConnection): Boolean = connection === candidate

    /** Sends [frame]; returns false if the connection is closed or the peer does not keep up with reading. */
    fun send(frame: ByteArray): Boolean = connection?.send(frame) == true

    /** Calls the peer; null if no reply arrives within [timeoutMs] or before the connection closes. */
    suspend fun call(
        call: PeerCall,
        timeoutMs: Long,
    ): PeerReply? {
        val id = ++sequence
        val reply = CompletableDeferred<PeerReply?>()
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
        onChange()
    }

    private fun use(
        opened: FrameConnection,
        isShared: Boolean,
    ) {
        pingSentAtMs.clear()
        connection = opened
        this.isShared = isShared
    }

    /** To be called when [closed], which this link may use, has closed. */
    fun onClose(closed: FrameConnection) {
        connections.remove(closed)
        if (connection != null && connection !== closed) return
        connection = null
        aliveUntilMs = 0
        onChange()
        calls.values.forEach { it.complete(null) }
    }
}
