/*
 * Test server that sends scripted bytes as its responses.
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
 * Responds to request n of a connection, counted from 0, with the bytes that [responseTo] returns for n, then calls
 * [after] with the connection.
 */
class ScriptedServer(
    private val after: (Socket) -> Unit = {},
    private val responseTo: (Int) -> String,
) : AutoCloseable {
    private val listener = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())

    val endpoint = Endpoint("127.0.0.1", listener.localPort)

    /** Request lines of the received requests. */
    val requests = CopyOnWriteArrayList<String>()

    /** For each received request, its number on its connection, counted from 0. */
    val requestNumbers = CopyOnWriteArrayList<Int>()

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
            requestNumbers += number
            socket.getOutputStream().write(responseTo(number++).encodeToByteArray())
            socket.getOutputStream().flush()
            after(socket)
        }
    }

    /** Reads a request with its body; returns the request line, or null if the connection was closed. */
    private fun readRequest(input: BufferedReader): String? {
        val requestLine = input.readLine() ?: return null
        var bodyBytes = 0
        while (true) {
            val line = input.readLine() ?: return null
            if (line.isEmpty()) break
            if (line.startsWith(LENGTH_HEADER, ignoreCase = true)) {
                bodyBytes = line.substring(LENGTH_HEADER.length).trim().toInt()
            }
        }
        repeat(bodyBytes) { input.read() }
        return requestLine
    }

    private companion object {
        const val BACKLOG = 50
        const val LENGTH_HEADER = "content-length:"
    }
}
