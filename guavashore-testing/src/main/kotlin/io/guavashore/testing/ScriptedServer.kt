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
 * Returns the bytes to send in response to a request, each element by a write of its own; after [ScriptedServer.CLOSE]
 * the connection is closed.
 */
typealias Responder = (RequestHead) -> List<String>

/** Handles a request by writing to its connection; may also close it. */
typealias RequestHandler = (RequestHead) -> Unit

/** Passes each request to the handler of its connection. */
class ScriptedServer private constructor(
    private val handlerOfConnection: (Socket) -> RequestHandler,
) : AutoCloseable {
    /**
     * Responds to request n of a connection, counted from 0, with the bytes that [responseTo] returns for n, then calls
     * [after] with the connection.
     */
    constructor(
        after: (Socket) -> Unit = {},
        responseTo: (Int) -> String,
    ) : this({ socket -> writing(socket, numbered(responseTo), after = after) })

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
            thread(isDaemon = true) { runCatching { socket.use(::serve) } }
        }
    }

    private fun serve(socket: Socket) {
        socket.tcpNoDelay = true
        val input = socket.getInputStream().bufferedReader(Charsets.ISO_8859_1)
        val handle = handlerOfConnection(socket)
        var number = 0
        while (true) {
            val head = readRequest(input) ?: return
            requests += head.requestLine
            requestNumbers += number++
            handle(head)
        }
    }

    /** Reads a request with its body; returns its head, or null if the connection was closed. */
    private fun readRequest(input: BufferedReader): RequestHead? {
        val lines = ArrayList<String>()
        while (true) {
            val line = input.readLine() ?: return null
            if (line.isEmpty()) break
            lines += line
        }
        val head = RequestHead(requestLine = lines.first(), fieldLines = lines.drop(1))
        repeat(head["Content-Length"]?.toInt() ?: 0) { input.read() }
        return head
    }

    companion object {
        /** In place of bytes to send, closes the connection. */
        const val CLOSE = "\u0000close"
        private const val BACKLOG = 50

        /** Server with a responder of its own for each connection, which waits [pauseMs] between two writes. */
        fun withResponders(
            pauseMs: Long = 0,
            responderOfConnection: () -> Responder,
        ) = withHandlers { socket -> writing(socket, responderOfConnection(), pauseMs) }

        /** Server with a handler of its own for each connection. */
        fun withHandlers(handlerOfConnection: (Socket) -> RequestHandler) = ScriptedServer(handlerOfConnection)

        private fun writing(
            socket: Socket,
            responder: Responder,
            pauseMs: Long = 0,
            after: (Socket) -> Unit = {},
        ): RequestHandler =
            { head ->
                responder(head).forEachIndexed { index, bytes ->
                    if (index > 0) Thread.sleep(pauseMs)
                    if (bytes == CLOSE) socket.close() else socket.getOutputStream().write(bytes.encodeToByteArray())
                }
                after(socket)
            }

        private fun numbered(responseTo: (Int) -> String): Responder {
            var number = 0
            return { listOf(responseTo(number++)) }
        }
    }
}
