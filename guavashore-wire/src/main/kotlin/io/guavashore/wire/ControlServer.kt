/*
 * Server that answers the messages of other guavashore processes.
 */
package io.guavashore.wire

import com.github.michaelbull.result.getOrElse
import io.guavashore.api.Endpoint
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.network.sockets.port
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.supervisorScope

/** Handles one message and returns the reply. */
typealias HandleMessage = suspend (ControlMessage) -> ControlMessage

/** Accepts connections at the endpoint given to [bind]. */
class ControlServer private constructor(
    private val socket: ServerSocket,
    private val handle: HandleMessage,
) : AutoCloseable {
    /** Bound port; chosen by the operating system if port 0 was requested. */
    val port: Int get() = socket.port

    /** Serves connections until cancelled. */
    suspend fun run() =
        supervisorScope {
            while (true) {
                val connection = socket.accept()
                launchServing(connection)
            }
        }

    override fun close() = socket.close()

    private fun CoroutineScope.launchServing(connection: Socket) =
        launch {
            try {
                serve(connection)
            } catch (e: CancellationException) {
                throw e
            } catch (e: Exception) {
                // The peer closed or reset the connection, so no reply can be sent.
            } finally {
                connection.close()
            }
        }

    private suspend fun serve(connection: Socket) {
        val input = connection.openReadChannel()
        val output = connection.openWriteChannel()
        while (true) {
            val message = input.readFrame().getOrElse { return output.writeFrame(ControlMessage.Rejected(it.message)) }
            output.writeFrame(handle(message))
        }
    }

    companion object {
        /** Binds to [endpoint]. Throws if the port is in use. */
        suspend fun bind(
            endpoint: Endpoint,
            selector: SelectorManager,
            handle: HandleMessage,
        ): ControlServer {
            val socket =
                aSocket(selector).tcp().bind(InetSocketAddress(endpoint.host, endpoint.port)) { reuseAddress = true }
            return ControlServer(socket, handle)
        }
    }
}
