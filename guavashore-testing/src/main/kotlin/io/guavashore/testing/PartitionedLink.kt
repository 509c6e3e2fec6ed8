/*
 * TCP link to a server that can be partitioned, as between two machines of different availability zones.
 *
 * What a client sends during a partition is held up: it arrives with the first retransmission after the partition,
 * unless the client resets its connection. The end of a connection waits behind the bytes before it.
 */
package io.guavashore.testing

import io.guavashore.api.Endpoint
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import kotlin.concurrent.thread

/** Listens at [endpoint] and opens a connection to [server] for each connection that it accepts. */
class PartitionedLink(
    private val server: Endpoint,
) : AutoCloseable {
    private val listener = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val lock = Object()
    private val links = ConcurrentHashMap.newKeySet<Link>()

    @Volatile
    private var isCut = false

    val endpoint = Endpoint("127.0.0.1", listener.localPort)

    /** Number of bytes of clients that the partition holds up now. */
    val heldUpBytes: Int get() = links.sumOf { it.heldUpBytes }

    /** Number of connections that clients have neither ended nor reset. */
    val openConnections: Int get() = links.count { it.isOpen }

    /** True if everything has arrived that clients sent on connections they ended, and what they reset is dropped. */
    val isSettled: Boolean get() = links.all { it.isOpen || it.isDelivered }

    init {
        thread(isDaemon = true) { accept() }
    }

    /** True if the partition holds up, or held up until a reset, bytes of one connection that contain [text]. */
    fun hasHeldUp(text: String): Boolean = isCut && links.any { text in it.undelivered }

    /** Starts a partition. Connections that are opened while it lasts carry nothing. */
    fun cut() {
        isCut = true
    }

    /** Ends the partition. */
    fun heal() =
        synchronized(lock) {
            isCut = false
            lock.notifyAll()
        }

    override fun close() {
        listener.close()
        links.forEach { it.close() }
    }

    private fun accept() {
        while (!listener.isClosed) {
            val client = runCatching { listener.accept() }.getOrNull() ?: return
            thread(isDaemon = true) { runCatching { connect(client) }.onFailure { client.close() } }
        }
    }

    private fun connect(client: Socket) {
        val upstream = Socket(server.host, server.port)
        listOf(client, upstream).forEach { it.tcpNoDelay = true }
        val link = Link(client, upstream)
        links += link
        thread(isDaemon = true) { link.receive() }
        thread(isDaemon = true) { link.deliver() }
        link.returnResponses()
    }

    private inner class Link(
        private val client: Socket,
        private val upstream: Socket,
    ) {
        private inner class Segment(
            val bytes: ByteArray,
        ) {
            val sentNs = System.nanoTime()
        }

        private val segments = ArrayDeque<Segment>()
        private var hasEnded = false
        private var wasReset = false

        /** True once nothing more is delivered. */
        @Volatile
        var isDelivered = false
            private set
        val isOpen: Boolean get() = synchronized(lock) { !hasEnded && !wasReset }
        val undelivered: String get() = synchronized(lock) { segments.joinToString("") { String(it.bytes) } }
        val heldUpBytes: Int get() = synchronized(lock) { if (isCut) segments.sumOf { it.bytes.size } else 0 }

        /** Takes what the client sends until its end or its reset. */
        fun receive() {
            val buffer = ByteArray(BUFFER_BYTES)
            try {
                var count = client.getInputStream().read(buffer)
                while (count >= 0) {
                    val bytes = buffer.copyOf(count)
                    update { segments += Segment(bytes) }
                    count = client.getInputStream().read(buffer)
                }
                update { hasEnded = true }
            } catch (_: IOException) {
                update { wasReset = true }
            }
        }

        /** Passes on to the server what the client sent, in order, once the partition allows it. */
        fun deliver() {
            runCatching {
                while (true) {
                    val segment = next() ?: break
                    upstream.getOutputStream().write(segment.bytes)
                }
                if (!wasReset) upstream.shutdownOutput()
            }
            if (wasReset) reset(upstream)
            isDelivered = true
        }

        /** The next segment once it arrives; null at the end of the connection. */
        private fun next(): Segment? =
            synchronized(lock) {
                var wasHeldUp = false
                while (!wasReset) {
                    val segment = segments.firstOrNull()
                    val nowNs = System.nanoTime()
                    when {
                        segment == null && !hasEnded -> lock.wait()
                        isCut -> {
                            wasHeldUp = true
                            lock.wait()
                        }
                        wasHeldUp -> {
                            val dueNs = retransmissionNs(segment?.sentNs ?: nowNs, nowNs)
                            while (!wasReset && !isCut && System.nanoTime() < dueNs) lock.wait(POLL_MS)
                            wasHeldUp = false
                        }
                        else -> return segments.removeFirstOrNull()
                    }
                }
                null
            }

        /** Passes the server's responses back; those of a partition are lost with it. */
        fun returnResponses() {
            val buffer = ByteArray(BUFFER_BYTES)
            runCatching {
                var count = upstream.getInputStream().read(buffer)
                while (count >= 0) {
                    if (!isCut) client.getOutputStream().write(buffer, 0, count)
                    count = upstream.getInputStream().read(buffer)
                }
            }
            client.close()
        }

        fun close() {
            client.close()
            upstream.close()
        }

        private fun update(block: () -> Unit) =
            synchronized(lock) {
                block()
                lock.notifyAll()
            }
    }

    private companion object {
        const val BACKLOG = 100
        const val BUFFER_BYTES = 16_384
        const val POLL_MS = 10L
        const val FIRST_RETRANSMISSION_NS = 200_000_000L

        /** First retransmission at or after [nowNs] of what was sent at [sentNs]; the pauses between them double. */
        fun retransmissionNs(
            sentNs: Long,
            nowNs: Long,
        ): Long {
            var pauseNs = FIRST_RETRANSMISSION_NS
            var dueNs = sentNs + pauseNs
            while (dueNs < nowNs) {
                pauseNs *= 2
                dueNs += pauseNs
            }
            return dueNs
        }

        fun reset(socket: Socket) {
            runCatching { socket.setSoLinger(true, 0) }
            runCatching { socket.close() }
        }
    }
}
