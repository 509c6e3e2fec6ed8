/*
 * Runs the membership protocol over UDP and fetches facts over the control connections.
 */
package io.guavashore.steward

import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.onSuccess
import io.github.oshai.kotlinlogging.KotlinLogging
import io.guavashore.api.Endpoint
import io.guavashore.api.MonotonicClock
import io.guavashore.api.VmId
import io.guavashore.membership.FactTable
import io.guavashore.membership.MemberHint
import io.guavashore.membership.MemberMessage
import io.guavashore.membership.MemberRecord
import io.guavashore.membership.Membership
import io.guavashore.membership.OutgoingMessage
import io.guavashore.wire.ControlMessage
import io.guavashore.wire.decodeBody
import io.guavashore.wire.encodeBody
import io.guavashore.wire.expect
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.BoundDatagramSocket
import io.ktor.network.sockets.Datagram
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.aSocket
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.io.Buffer
import kotlinx.io.readByteArray
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.random.Random

private val log = KotlinLogging.logger {}

/** Membership of one steward. */
internal class MembershipService(
    self: MemberRecord,
    private val facts: FactTable,
    private val peerClients: PeerClients,
    private val clock: MonotonicClock,
    private val scope: CoroutineScope,
) {
    private val membership = Membership(self, facts, Random(self.incarnation), startedAtMs = clock())
    private val fetchesInProgress = ConcurrentHashMap.newKeySet<Endpoint>()
    private lateinit var socket: BoundDatagramSocket

    /** Bytes sent and received over UDP. */
    val trafficBytes = AtomicLong()

    /** Members in state alive or suspect, including this one. */
    fun live(): List<MemberRecord> = synchronized(membership) { membership.live() }

    fun find(vm: VmId): MemberRecord? = live().firstOrNull { it.vm == vm }

    fun hasPeers(): Boolean = synchronized(membership) { membership.hasPeers() }

    fun recordPlatformResponse() = synchronized(membership) { membership.recordPlatformResponse(clock()) }

    /**
     * True if the platform has not responded for [ISOLATED_AFTER_MS], neither to this steward nor to any
     * whose gossip reaches it.
     */
    fun isIsolated(): Boolean = synchronized(membership) { membership.platformAgeMs(clock()) } > ISOLATED_AFTER_MS

    fun replaceHints(hints: List<MemberHint>) = synchronized(membership) { membership.replaceHints(hints) }

    /** Binds the socket and starts probing. */
    suspend fun start(
        endpoint: Endpoint,
        selector: SelectorManager,
    ) {
        socket = aSocket(selector).udp().bind(InetSocketAddress(endpoint.host, endpoint.port))
        scope.launch { receive() }
        scope.launch { tick() }
    }

    /** Notifies some members that this one is leaving. */
    suspend fun leave() = send(synchronized(membership) { membership.leave() })

    private suspend fun tick() {
        var previousMembers = emptySet<VmId>()
        while (true) {
            send(synchronized(membership) { membership.tick(clock()) })
            val currentMembers = live().map { it.vm }.toSet()
            if (currentMembers != previousMembers) {
                log.info { "live members changed: members=${currentMembers.joinToString()}" }
            }
            previousMembers = currentMembers
            delay(TICK_INTERVAL_MS)
        }
    }

    private suspend fun receive() {
        for (datagram in socket.incoming) {
            val bytes = datagram.packet.readByteArray()
            this.trafficBytes.addAndGet(bytes.size.toLong())
            val message = decodeBody(MemberMessage.serializer(), bytes).getOrElse { null }
            val source = datagram.address as? InetSocketAddress
            if (message != null && source != null) receive(message, Endpoint(source.hostname, source.port))
        }
    }

    private suspend fun receive(
        message: MemberMessage,
        source: Endpoint,
    ) {
        send(synchronized(membership) { membership.receive(message, source, clock()) })
        val outdatedKeys = facts.outdatedKeys(message.gossip.facts)
        if (outdatedKeys.isNotEmpty() && fetchesInProgress.add(message.from.control)) {
            scope.launch { fetch(message.from.control, outdatedKeys) }
        }
    }

    private suspend fun fetch(
        from: Endpoint,
        keys: List<String>,
    ) {
        try {
            peerClients
                .client(from)
                .exchange(ControlMessage.FetchFacts(keys))
                .expect<ControlMessage.FactsReply>()
                .onSuccess { reply -> reply.facts.forEach(facts::offer) }
        } finally {
            fetchesInProgress.remove(from)
        }
    }

    private suspend fun send(messages: List<OutgoingMessage>) {
        messages.forEach { outgoing ->
            val bytes = encodeBody(MemberMessage.serializer(), outgoing.message)
            this.trafficBytes.addAndGet(bytes.size.toLong())
            val packet = Buffer().apply { write(bytes) }
            try {
                socket.send(Datagram(packet, InetSocketAddress(outgoing.to.host, outgoing.to.port)))
            } catch (e: CancellationException) {
                throw e
            } catch (e: Exception) {
                // Ignored: an unreachable peer is detected by its missing ack.
            }
        }
    }

    private companion object {
        const val TICK_INTERVAL_MS = 200L
        const val ISOLATED_AFTER_MS = 30_000L
    }
}
