/*
 * Connections to all other VMs, who of them is alive, and calls to them.
 *
 * Each VM dials every other one and sends it a ping several times a second; the ping and its answer carry both sides'
 * pulse. A peer counts as alive while its answers come back, so a connection that is cut in one direction does not.
 */
package io.guavashore.edge.peers

import io.github.oshai.kotlinlogging.KotlinLogging
import io.guavashore.api.Endpoint
import io.guavashore.api.MonotonicClock
import io.guavashore.api.VmId
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

/** Times of the mesh. */
data class MeshTimes(
    /** Shortest time between two pings on a connection; what the coordinator uses in a system of any size. */
    val pingEveryMs: Long = 400,
    /** Added for each peer, so that all pings of a VM together stay under 25 a second. */
    val pingSpacingMs: Long = 40,
    /** Pings without an answer after which a peer counts as dead; a lost connection shows at once. */
    val pingsToLive: Double = 3.25,
    val connectTimeoutMs: Long = 500,
    /** Dead peers are dialled this often; a replaced VM never answers. */
    val redialEveryMs: Long = 1_000,
)

/** What the mesh tells the rest of the process. */
interface PeerEvents {
    /** This VM's pulse for [receiver], made anew for each ping; for anyone if null. */
    fun pulse(receiver: VmId?): Heartbeat

    /** True while this VM must notice the loss of peers soon, as the coordinator must. */
    fun pingsOften(): Boolean

    fun onPulse(pulse: Heartbeat)

    fun onCollectionChanges(news: PeerMessage.CollectionChanges)

    fun onChangesRequest(wanted: PeerMessage.ChangesRequest): PeerMessage.CollectionChanges

    fun onTexts(texts: PeerMessage.Texts)

    fun onTargetLeaves(leaves: PeerMessage.TargetLeaves)

    /** Answers a call of a peer. */
    suspend fun onCall(call: PeerCall): PeerReply
}

/** Mesh of one VM. */
class PeerMesh(
    private val self: VmRecord,
    private val loop: ProcessLoop,
    private val clock: MonotonicClock,
    private val events: PeerEvents,
    private val times: MeshTimes = MeshTimes(),
) {
    private val links = HashMap<String, PeerLink>()

    /** Accepts peers at [endpoint]; returns the address in use. */
    suspend fun listen(endpoint: Endpoint): Endpoint = listenFrames(loop, endpoint, ::onFrame)

    /** Keeps a connection to the VM at [address] from now on. */
    fun meet(address: String) {
        if (address == self.address || address in links) return
        val endpoint = Endpoint.parseOrNull(address) ?: return log.warn { "peer address is not IP:PORT: $address" }
        val link = PeerLink(endpoint, loop, clock, times, ::onFrame)
        links[address] = link
        loop.scope.launch { keep(link) }
    }

    /** Drops the connection to [address] for good. */
    fun forget(address: String) {
        links.remove(address)?.close()
    }

    /** Pulses of the peers that are alive now. */
    fun alive(): List<Heartbeat> =
        links.values
            .filter { it.isAlive() }
            .mapNotNull { it.pulse }
            .distinctBy { it.vmRecord.vm }

    /** Calls [vm]; null if it is not alive or does not answer by [timeoutMs]. */
    suspend fun call(
        vm: VmId,
        call: PeerCall,
        timeoutMs: Long,
    ): PeerReply? = linkTo(vm)?.call(call, timeoutMs)

    /** Sends [message] to all peers that are alive. */
    fun broadcast(message: PeerMessage) {
        val frame = encode(message)
        links.values.filter { it.isAlive() }.forEach { it.send(frame) }
    }

    /** Sends [message] to [vm], if it is alive. */
    fun send(
        vm: VmId,
        message: PeerMessage,
    ) {
        linkTo(vm)?.send(encode(message))
    }

    /** Sends a pulse to all peers at once, without waiting for the next ping. */
    fun pingAll() {
        val aliveForMs = (pingEveryMs() * times.pingsToLive).toLong()
        links.values.forEach { it.ping(events.pulse(it.pulse?.vmRecord?.vm), aliveForMs) }
    }

    private fun linkTo(vm: VmId): PeerLink? = links.values.firstOrNull { it.isAlive() && it.pulse?.vmRecord?.vm == vm }

    private suspend fun keep(link: PeerLink) {
        while (links[link.address] === link) {
            if (link.connect()) converse(link)
            delay(times.redialEveryMs)
        }
    }

    private suspend fun converse(link: PeerLink) {
        while (link.isOpen) {
            val everyMs = pingEveryMs()
            val pulse = events.pulse(link.pulse?.vmRecord?.vm)
            if (!link.ping(pulse, (everyMs * times.pingsToLive).toLong())) link.close()
            delay(everyMs)
        }
    }

    private fun pingEveryMs(): Long {
        val spaced = times.pingSpacingMs * links.size
        return if (events.pingsOften()) times.pingEveryMs else maxOf(times.pingEveryMs, spaced)
    }

    private fun onFrame(
        connection: FrameConnection,
        frame: ByteArray,
    ) {
        when (val message = decode(frame) ?: return connection.close()) {
            is PeerMessage.Ping -> {
                connection.send(encode(PeerMessage.Pong(message.sequence, events.pulse(message.pulse.vmRecord.vm))))
                meet(message.pulse.vmRecord.address)
                events.onPulse(message.pulse)
            }
            is PeerMessage.Pong -> {
                linkOf(connection)?.onPong(message)
                meet(message.pulse.vmRecord.address)
                events.onPulse(message.pulse)
            }
            is PeerMessage.CollectionChanges -> events.onCollectionChanges(message)
            is PeerMessage.ChangesRequest -> connection.send(encode(events.onChangesRequest(message)))
            is PeerMessage.Texts -> events.onTexts(message)
            is PeerMessage.TargetLeaves -> events.onTargetLeaves(message)
            is PeerMessage.Call -> loop.scope.launch { answer(connection, message) }
            is PeerMessage.Reply -> linkOf(connection)?.onReply(message)
        }
    }

    private suspend fun answer(
        connection: FrameConnection,
        call: PeerMessage.Call,
    ) {
        val reply = events.onCall(call.call)
        connection.send(encode(PeerMessage.Reply(call.id, reply)))
    }

    private fun linkOf(connection: FrameConnection) = links.values.firstOrNull { it.owns(connection) }

    private fun decode(frame: ByteArray): PeerMessage? =
        try {
            cbor.decodeFromByteArray<PeerMessage>(frame)
        } catch (e: SerializationException) {
            log.warn { "unreadable message of a peer, connection closed: ${e.message}" }
            null
        }

    internal companion object {
        private val cbor = Cbor { ignoreUnknownKeys = true }

        fun encode(message: PeerMessage): ByteArray = cbor.encodeToByteArray(message)
    }
}
