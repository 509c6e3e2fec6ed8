/*
 * Full mesh of connections to all other VMs: liveness detection, messages and calls.
 *
 * Each VM connects to every other VM and sends a ping several times a second; ping and pong carry the heartbeats of
 * both sides. A peer counts as alive while it sends pongs, so a connection that is broken in one direction does not
 * keep the peer alive.
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

    /** Accepts connections from peers at [endpoint]; returns the bound address. */
    suspend fun listen(endpoint: Endpoint): Endpoint = listenFrames(loop, endpoint, ::onFrame)

    /** Adds the VM at [address], unless it is known, and keeps a connection to it until [removePeer]. */
    fun addPeer(address: String) {
        if (address == ownRecord.address || address in links) return
        val endpoint =
            Endpoint.parseOrNull(address) ?: return log.warn { "peer ignored, address is not IP:PORT: $address" }
        val link = PeerLink(endpoint, loop, clock, timing, ::onFrame)
        links[address] = link
        loop.scope.launch { keepConnected(link) }
    }

    /** Removes the VM at [address] and closes the connection to it. */
    fun removePeer(address: String) {
        links.remove(address)?.close()
    }

    /** Last heartbeats of the peers that are alive now. */
    fun alive(): List<Heartbeat> =
        links.values
            .filter { it.isAlive() }
            .mapNotNull { it.heartbeat }
            .distinctBy { it.vmRecord.vm }

    /** Calls [vm]; null if it is not alive or does not reply within [timeoutMs]. */
    suspend fun call(
        vm: VmId,
        call: PeerCall,
        timeoutMs: Long,
    ): PeerReply? = linkTo(vm)?.call(call, timeoutMs)

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
        linkTo(vm)?.send(encode(message))
    }

    /** Sends heartbeats to all peers immediately, without waiting for the next ping. */
    fun pingAll() {
        val livenessMs = (pingIntervalMs() * timing.maxUnansweredPings).toLong()
        links.values.forEach { it.ping(events.heartbeat(it.heartbeat?.vmRecord?.vm), livenessMs) }
    }

    /** Connection to [vm]; null unless [vm] is alive. */
    private fun linkTo(vm: VmId): PeerLink? =
        links.values.firstOrNull {
            it.isAlive() &&
                it.heartbeat?.vmRecord?.vm == vm
        }

    private suspend fun keepConnected(link: PeerLink) {
        while (links[link.address] === link) {
            if (link.connect()) pingWhileOpen(link)
            delay(timing.redialIntervalMs)
        }
    }

    private suspend fun pingWhileOpen(link: PeerLink) {
        while (link.isOpen) {
            val intervalMs = pingIntervalMs()
            val heartbeat = events.heartbeat(link.heartbeat?.vmRecord?.vm)
            if (!link.ping(heartbeat, (intervalMs * timing.maxUnansweredPings).toLong())) link.close()
            delay(intervalMs)
        }
    }

    private fun pingIntervalMs(): Long {
        val spacedMs = timing.pingSpacingMs * links.size
        return if (events.needsFastFailureDetection()) timing.pingIntervalMs else maxOf(timing.pingIntervalMs, spacedMs)
    }

    private fun onFrame(
        connection: FrameConnection,
        frame: ByteArray,
    ) {
        when (val message = decode(frame) ?: return connection.close()) {
            is PeerMessage.Ping -> {
                events.onHeartbeat(message.heartbeat)
                connection.send(
                    encode(PeerMessage.Pong(message.sequence, events.heartbeat(message.heartbeat.vmRecord.vm))),
                )
                addPeer(message.heartbeat.vmRecord.address)
            }
            is PeerMessage.Pong -> {
                linkOf(connection)?.onPong(message)
                addPeer(message.heartbeat.vmRecord.address)
                events.onHeartbeat(message.heartbeat)
            }
            is PeerMessage.CollectionChanges -> events.onCollectionChanges(message)
            is PeerMessage.ChangesRequest -> connection.send(encode(events.onChangesRequest(message)))
            is PeerMessage.PartialTexts -> events.onPartialTexts(message)
            is PeerMessage.TargetLeaving -> events.onTargetLeaving(message)
            is PeerMessage.TargetCold -> events.onTargetCold(message.news)
            is PeerMessage.RateLimits -> events.onRateLimits(message.limits)
            is PeerMessage.Call -> loop.scope.launch { handleCall(connection, message) }
            is PeerMessage.Reply -> linkOf(connection)?.onReply(message)
        }
    }

    private suspend fun handleCall(
        connection: FrameConnection,
        call: PeerMessage.Call,
    ) {
        val reply = events.onCall(call.call)
        connection.send(encode(PeerMessage.Reply(call.id, reply)))
    }

    /** Link that uses [connection]; null if a peer opened it or it has been replaced. */
    private fun linkOf(connection: FrameConnection) = links.values.firstOrNull { it.usesConnection(connection) }

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
