/*
 * Server for tests that answers each connection with bytes as they were written down.
 */
package io.guavashore.net

import io.guavashore.api.Endpoint
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import kotlin.concurrent.thread

/** Answers each request on any connection with the bytes of [answer], then does [after] with the connection. */
internal class RawServer(
    private val answer: ByteArray,
    private val after: (Socket) -> Unit = {},
) : AutoCloseable {
    private val listener = ServerSocket(0, 50, InetAddress.getLoopbackAddress())

    val endpoint = Endpoint("127.0.0.1", listener.localPort)

    init {
        thread(isDaemon = true) { accept() }
    }

    override fun close() = listener.close()

    private fun accept() {
        while (!listener.isClosed) {
            val socket = runCatching { listener.accept() }.getOrNull() ?: return
            thread(isDaemon = true) { runCatching { serve(socket) } }
        }
    }

    private fun serve(socket: Socket) {
        val input = socket.getInputStream().bufferedReader(Charsets.ISO_8859_1)
        while (true) {
            do {
                val line = input.readLine() ?: return
            } while (line.isNotEmpty())
            socket.getOutputStream().write(answer)
            socket.getOutputStream().flush()
            after(socket)
        }
    }
}
