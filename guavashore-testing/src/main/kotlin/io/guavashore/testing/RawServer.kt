/*
 * Server for tests that answers with bytes as they were written down.
 */
package io.guavashore.testing

import io.guavashore.api.Endpoint
import java.io.BufferedReader
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

/**
 * Answers the request with number n, counted from 0 on each connection, with the bytes that [answer] gives for n, then
 * does [after] with the connection.
 */
class RawServer(
    private val after: (Socket) -> Unit = {},
    private val answer: (Int) -> String,
) : AutoCloseable {
    private val listener = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())

    val endpoint = Endpoint("127.0.0.1", listener.localPort)

    /** First lines of the requests that arrived. */
    val requests = CopyOnWriteArrayList<String>()

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
        var number = 0
        while (true) {
            requests += readRequest(input) ?: return
            socket.getOutputStream().write(answer(number++).encodeToByteArray())
            socket.getOutputStream().flush()
            after(socket)
        }
    }

    /** Reads a request with its body; returns its first line, or null at the end of the connection. */
    private fun readRequest(input: BufferedReader): String? {
        val first = input.readLine() ?: return null
        var bodyBytes = 0
        while (true) {
            val line = input.readLine() ?: return null
            if (line.isEmpty()) break
            if (line.startsWith(LENGTH, ignoreCase = true)) bodyBytes = line.substring(LENGTH.length).trim().toInt()
        }
        repeat(bodyBytes) { input.read() }
        return first
    }

    private companion object {
        const val BACKLOG = 50
        const val LENGTH = "content-length:"
    }
}
