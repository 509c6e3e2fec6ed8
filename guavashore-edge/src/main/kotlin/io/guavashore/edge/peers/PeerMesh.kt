/*
 * Full mesh of connections to all other VMs: liveness detection, messages and calls.
 *
 * Each VM connects to every other VM and sends a ping several times a second; ping and pong carry the heartbeats of
 * both sides. A peer counts as alive while it sends pongs, so a connection that is broken in one direction does not
 * keep the peer alive. If there are many VMs, two of them share the connection that the one with the lower address
 * opens, and only that one pings, unless the other has to detect losses quickly.
 */
package io.guavashore.edge.peers

import io.github.oshai.kotlinlogging.KotlinLogging
import io.guavashore.api.Endpoint
import io.guavashore.api.MonotonicClock
import io.guavashore.api.VmId
import io.guavashore.edge.cold.ColdNews
import io.guavashore.edge.limits.TargetRateLimit
import io.guavashore.net.FrameConnection
import io.guavashore.net.ProcessLoop
import io.guavashore.net.listenFrames
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray

private val log = KotlinLogging.logger {}

/** Timing of pings and connections. */
data class MeshTiming(
    /** Minimum interval of pings on a connection; the coordinator uses it whatever the number of VMs. */
    val pingIntervalMs: Long = 400,
    /** On other VMs, minimum ping interval per known peer; limits a VM to 25 pings per second in total. */
    val pingSpacingMs: Long = 40,
    /** Ping intervals without a pong after which a peer counts as dead; it does so at once if the connection closes. */
    val maxUnansweredPings: Double = 3.25,
    val connectTimeoutMs: Long = 500,
    /** Interval between attempts to connect to a dead peer; not shorter, as a replaced VM never accepts one. */
    val redialIntervalMs: Long = 1_000,
    /** Known peers from which on two VMs share one connection; fewer VMs detect a loss from both sides. */
    val minPeersToShare: Int = 16,
)

/** Callbacks from the mesh to the rest of the process. */
interface PeerEvents {
    /** Builds this VM's heartbeat for [receiver], or for an unknown receiver if null. Called for each ping and pong. */
    fun heartbeat(receiver: VmId?): Heartbeat

    /** True while this VM must detect the loss of peers quickly, as the coordinator has to. */
    fun needsFastFailureDetection(): Boolean

    fun onHeartbeat(heartbeat: Heartbeat)

    /** Applies changes received from a peer. */
    fun onCollectionChanges(changes: PeerMessage.CollectionChanges)

    /** Returns the changes that a peer requests. */
    fun onChangesRequest(request: PeerMessage.ChangesRequest): PeerMessage.CollectionChanges

    fun onPartialTexts(texts: PeerMessage.PartialTexts)

    fun onTargetLeaving(leaving: PeerMessage.TargetLeaving)

    fun onTargetCold(news: ColdNews)

    fun onRateLimits(limits: List<TargetRateLimit>)

    /** Executes a peer's call and returns the reply to it. */
    suspend fun onCall(call: PeerCall): PeerReply
}

/** Mesh of one VM. Not thread-safe. */
class PeerMesh(
    private val ownRecord: VmRecord,
    private val loop: ProcessLoop,
    private val clock: MonotonicClock,
    private val events: PeerEvents,
    private val timing: MeshTiming = MeshTiming(),
) {
    private val links = HashMap<String, PeerLink>()
    private val live = LivePeers(links::values, clock)

    private val connections = PeerConnections()

    /** Messages that peers have sent to this VM, and their bytes. */
    var receivedMessages = 0L
        private set
    var receivedBytes = 0L
        private set

    /** Open connections to and from peers. */
    val openConnections: Int get() = connections.open

    /** Accepts connections from peers at [endpoint]; returns the bound address. */
    suspend fun listen(endpoint: Endpoint): Endpoint =
        listenFrames(loop, endpoint, connections::onAcceptedClosed) { connection, frame ->
            onFrame(connections.linkSharing(connection), connection, frame)
        }

    /** Adds the VM at [address], unless it is known, and keeps a connection to it until [removePeer]. */
    fun addPeer(address: String) {
        if (address == ownRecord.address || address in links) return
        val endpoint =
            Endpoint.parseOrNull(address) ?: return log.warn { "peer ignored, address is not IP:PORT: $address" }
        val link = PeerLink(endpoint, loop, clock, timing, ::onFrame, connections, live::onChange)
        links[address] = link
        loop.scope.launch {
            // The peer is likely to open the connection that both share.
            if (sharesConnectionOf(link)) delay(timing.redialIntervalMs)
            keepConnected(link)
        }
    }

    /** Removes the VM at [address] and closes the connection to it. */
    fun removePeer(address: String) {
        links.remove(address)?.close()
    }

    /** Heartbeats of the peers that are alive now, as of their last change; the same list until one changes. */
    fun alive(): List<Heartbeat> = live.heartbeats()

    /** Calls [vm]; null if it does not reply within [timeoutMs], [PeerReply.NotHere] if it is not alive. */
    suspend fun call(
        vm: VmId,
        call: PeerCall,
        timeoutMs: Long,
    ): PeerReply? {
        val link = live[vm] ?: return PeerReply.NotHere
        return link.call(call, timeoutMs)
    }

    /** Sends [message] to all live peers. */
    fun broadcast(message: PeerMessage) {
        val frame = encode(message)
        links.values.filter { it.isAlive() }.forEach { it.send(frame) }
    }

    /** Sends [message] to [vm]; dropped if [vm] is not alive. */
    fun send(
        vm: VmId,
        message: PeerMessage,
    ) {
        live[vm]?.send(encode(message))
    }

    /** Sends heartbeats to all peers immediately, without waiting for the next ping. */
    fun pingAll() {
        val livenessMs = (pingIntervalMs() * timing.maxUnansweredPings).toLong()
        links.values.forEach { it.ping(events.heartbeat(it.heartbeat?.vmRecord?.vm), livenessMs) }
    }

    private suspend fun keepConnected(link: PeerLink) {
        while (links[link.address] === link) {
            if (link.isOpen || link.connect()) pingWhileOpen(link)
            delay(timing.redialIntervalMs)
        }
    }

    private suspend fun pingWhileOpen(link: PeerLink) {
        while (link.isOpen) {
            val intervalMs = pingIntervalMs()
            if (!keepAlive(link, (intervalMs * timing.maxUnansweredPings).toLong())) link.close()
            delay(intervalMs)
        }
    }

    /** Pings the peer unless it pings itself; returns false if the connection is broken. */
    private fun keepAlive(
        link: PeerLink,
        livenessMs: Long,
    ): Boolean {
        if (link.isShared && !events.needsFastFailureDetection()) return link.isAlive()
        return link.ping(events.heartbeat(link.heartbeat?.vmRecord?.vm), livenessMs)
    }

    /** True if this VM and the peer of [link] share the connection that the peer opens. */
    private fun sharesConnectionOf(link: PeerLink) =
        links.size >= timing.minPeersToShare && ownRecord.address > link.address

    private fun pingIntervalMs(): Long {
        val spacedMs = timing.pingSpacingMs * links.size
        return if (events.needsFastFailureDetection()) timing.pingIntervalMs else maxOf(timing.pingIntervalMs, spacedMs)
    }

    /** Handles a message received on [connection]; [link] is null if the peer opened the connection. */
    private fun onFrame(
        link: PeerLink?,
        connection: FrameConnection,
        frame: ByteArray,
    ) {
        receivedMessages++
        receivedBytes += frame.size
        when (val message = decode(frame) ?: return connection.close()) {
            is PeerMessage.Ping -> {
                connections.exchangeOn(connection).onFull(message.heartbeat)
                onPing(message.sequence, message.heartbeat, link, connection)
            }
            is PeerMessage.RepeatedPing ->
                onPing(message.sequence, repeated(message.wallMs, connection), link, connection)
            is PeerMessage.Pong -> {
                connections.exchangeOn(connection).onFull(message.heartbeat)
                onPong(message.sequence, message.heartbeat, link)
            }
            is PeerMessage.RepeatedPong ->
                onPong(message.sequence, repeated(message.wallMs, connection), link)
            is PeerMessage.CollectionChanges -> events.onCollectionChanges(message)
            is PeerMessage.ChangesRequest -> connection.send(encode(events.onChangesRequest(message)))
            is PeerMessage.PartialTexts -> events.onPartialTexts(message)
            is PeerMessage.TargetLeaving -> events.onTargetLeaving(message)
            is PeerMessage.TargetCold -> events.onTargetCold(message.news)
            is PeerMessage.RateLimits -> events.onRateLimits(message.limits)
            is PeerMessage.Call -> loop.scope.launch { handleCall(connection, message) }
            is PeerMessage.Reply -> link?.onReply(message)
        }
    }

    private fun onPing(
        sequence: Long,
        received: Heartbeat?,
        link: PeerLink?,
        connection: FrameConnection,
    ) {
        if (received == null) return
        if (link == null || link.isShared) shareConnection(received, connection)
        events.onHeartbeat(received)
        val own = events.heartbeat(received.vmRecord.vm)
        connections.exchangeOn(connection).send(
            own,
            full = { PeerMessage.Pong(sequence, own) },
            repeated = { PeerMessage.RepeatedPong(sequence, own.wallMs) },
            send = { connection.send(encode(it)) },
        )
        addPeer(received.vmRecord.address)
    }

    private fun onPong(
        sequence: Long,
        received: Heartbeat?,
        link: PeerLink?,
    ) {
        if (received == null) return
        link?.onPong(sequence, received)
        addPeer(received.vmRecord.address)
        events.onHeartbeat(received)
    }

    /** The heartbeat that a peer repeats; closes the connection and returns null if the peer has not sent it. */
    private fun repeated(
        wallMs: Long,
        connection: FrameConnection,
    ): Heartbeat? {
        val heartbeat = connections.exchangeOn(connection).onRepeated(wallMs)
        if (heartbeat != null) return heartbeat
        log.warn { "a peer repeats a heartbeat that it has not sent, closing the connection" }
        connection.close()
        return null
    }

    /** Uses [connection], on which a peer has sent the ping with [received], in both directions if the VMs are many. */
    private fun shareConnection(
        received: Heartbeat,
        connection: FrameConnection,
    ) {
        val link = links[received.vmRecord.address] ?: return
        val isInUse = link.uses(connection)
        if (!isInUse && !(sharesConnectionOf(link) && link.isIdle())) return
        connections.share(connection, link)
        link.share(connection, received, (pingIntervalMs() * timing.maxUnansweredPings).toLong())
    }

    private suspend fun handleCall(
        connection: FrameConnection,
        call: PeerMessage.Call,
    ) {
        val reply = events.onCall(call.call)
        connection.send(encode(PeerMessage.Reply(call.id, reply)))
    }

    private fun decode(frame: ByteArray): PeerMessage? =
        try {
            cbor.decodeFromByteArray<PeerMessage>(frame)
        } catch (e: SerializationException) {
            log.warn { "unreadable message from a peer, closing the connection: ${e.message}" }
            null
        }

    internal companion object {
        private val cbor = Cbor { ignoreUnknownKeys = true }

        fun encode(message: PeerMessage): ByteArray = cbor.encodeToByteArray(message)
    }
}
