package io.guavashore.net

import io.guavashore.api.Endpoint
import io.guavashore.testing.PartitionedLink
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import java.io.File
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Bytes that a partition holds up when the process that sent them ends. */
class HeldUpRequestsTest {
    private val listener = ServerSocket(0, 10, InetAddress.getLoopbackAddress())
    private val link = PartitionedLink(Endpoint("127.0.0.1", listener.localPort))

    /** What the server has received. */
    private val received = CopyOnWriteArrayList<String>()

    init {
        thread(isDaemon = true) {
            val socket = runCatching { listener.accept() }.getOrNull() ?: return@thread
            val buffer = ByteArray(BUFFER_BYTES)
            runCatching {
                var count = socket.getInputStream().read(buffer)
                while (count >= 0) {
                    received += String(buffer, 0, count)
                    count = socket.getInputStream().read(buffer)
                }
            }
        }
    }

    @AfterTest
    fun close() {
        link.close()
        listener.close()
    }

    /** Starts a process that sends one message of [kind] once the link is cut, and lets [end] end it. */
    private fun endSender(
        kind: String,
        end: (Process) -> Unit,
    ) {
        val sender =
            ProcessBuilder(JAVA, "-Xmx32m", "-cp", CLASS_PATH, SENDER, kind, link.endpoint.toString())
                .redirectError(ProcessBuilder.Redirect.INHERIT)
                .start()
        val output = sender.inputStream.bufferedReader()
        assertEquals(CONNECTED, output.lineSequence().first { it == CONNECTED })
        link.cut()
        sender.outputStream.write('\n'.code)
        sender.outputStream.flush()
        awaitHeldUpBytes()
        end(sender)
        assertTrue(sender.waitFor(END_S, TimeUnit.SECONDS), "the sender has not ended")
        healAndSettle()
    }

    /** Ends the partition once the end of the connection has passed it, and waits for the retransmissions. */
    private fun healAndSettle() {
        await("the end of the connection") { link.openConnections == 0 }
        link.heal()
        await("the retransmissions") { link.isSettled }
        Thread.sleep(RECORDING_MS)
    }

    private fun awaitHeldUpBytes() = await("held-up bytes") { link.heldUpBytes > 0 }

    private fun await(
        what: String,
        condition: () -> Boolean,
    ) {
        val deadlineNs = System.nanoTime() + END_S * NANOS_PER_S
        while (!condition() && System.nanoTime() < deadlineNs) Thread.sleep(5)
        assertTrue(condition(), "no sign of $what")
    }

    /** Shows that the link delivers what it holds up; the other tests expect nothing. */
    @Test
    fun `bytes that a partition holds up arrive if their connection was ended in order`() {
        Socket(link.endpoint.host, link.endpoint.port).use { socket ->
            await("the connection") { link.openConnections == 1 }
            link.cut()
            socket.getOutputStream().write("bytes".encodeToByteArray())
            awaitHeldUpBytes()
        }
        healAndSettle()
        assertEquals(listOf("bytes"), received)
    }

    /** Guards against items, orders and requests that reach a target after their sender was killed and succeeded. */
    @Test
    fun `a request that a partition holds up does not arrive once its sender was killed`() {
        endSender("request") { it.destroyForcibly() }
        assertEquals(emptyList<String>(), received)
    }

    @Test
    fun `a request that a partition holds up does not arrive once its sender has exited`() {
        endSender("request") { it.outputStream.close() }
        assertEquals(emptyList<String>(), received)
    }

    /** Guards against texts and store calls of a former coordinator that reach other VMs after its successor's. */
    @Test
    fun `a frame that a partition holds up does not arrive once its sender was killed`() {
        endSender("frame") { it.destroyForcibly() }
        assertEquals(emptyList<String>(), received)
    }

    /** Guards against calls to a peer that counts as lost and comes back. */
    @Test
    fun `a frame that a partition holds up does not arrive once the connection was closed`() {
        val loop = ProcessLoop { throw it }
        onLoop(loop) {
            val connection = connectFrames(loop, link.endpoint, CONNECT_MS, { _, _ -> }, {})
            link.cut()
            connection.send("frame".encodeToByteArray())
            while (link.heldUpBytes == 0) delay(5)
            connection.close()
        }
        healAndSettle()
        loop.close()
        assertEquals(emptyList<String>(), received)
    }

    internal companion object {
        const val CONNECTED = "connected"
        private const val SENDER = "io.guavashore.net.HeldUpSenderKt"
        private const val BUFFER_BYTES = 4_096
        private const val CONNECT_MS = 1_000L
        private const val END_S = 20L
        private const val NANOS_PER_S = 1_000_000_000L

        /** Time in which the server records what it has received. */
        private const val RECORDING_MS = 200L
        private val JAVA = File(System.getProperty("java.home"), "bin/java").path

        /** Surefire puts the real class path in this property, and in `java.class.path` a jar that refers to it. */
        private val CLASS_PATH =
            System.getProperty("surefire.test.class.path") ?: System.getProperty("java.class.path")

        fun <T> onLoop(
            loop: ProcessLoop,
            block: suspend () -> T,
        ): T = runBlocking { loop.scope.async { block() }.await() }
    }
}
