/*
 * Client of another guavashore process: one connection, one exchange at a time, reconnecting after a failure.
 */
package io.guavashore.wire

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import io.guavashore.api.Endpoint
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.Connection
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.connection
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withTimeout

/** Client of the process at [endpoint]; an exchange fails after [timeoutMs]. */
class ControlClient(
    private val endpoint: Endpoint,
    private val selector: SelectorManager,
    private val timeoutMs: Long = 1_500,
) : AutoCloseable {
    private val mutex = Mutex()
    private var connection: Connection? = null

    /** Sends [message] and returns the reply. If this fails, the other process may still have received [message]. */
    suspend fun exchange(message: ControlMessage): Result<ControlMessage, WireError> =
        mutex.withLock {
            val outcome =
                try {
                    withTimeout(timeoutMs) { exchangeOnce(message) }
                } catch (e: TimeoutCancellationException) {
                    Err(WireError.Unreachable("$endpoint: timeout"))
                } catch (e: CancellationException) {
                    disconnect()
                    throw e
                } catch (e: Exception) {
                    Err(WireError.Unreachable("$endpoint: ${e.javaClass.simpleName}"))
                }
            if (outcome.isErr) disconnect()
            outcome
        }

    override fun close() = disconnect()

    private suspend fun exchangeOnce(message: ControlMessage): Result<ControlMessage, WireError> {
        val open = connection ?: connect().also { connection = it }
        open.output.writeFrame(message)
        return open.input.readFrame()
    }

    private suspend fun connect(): Connection =
        aSocket(selector)
            .tcp()
            .connect(InetSocketAddress(endpoint.host, endpoint.port)) { noDelay = true }
            .connection()

    private fun disconnect() {
        connection?.socket?.close()
        connection = null
    }
}

/** Returns the reply if it is of the expected kind. */
inline fun <reified T : ControlMessage> Result<ControlMessage, WireError>.expect(): Result<T, WireError> =
    andThen { reply ->
        if (reply is T) Ok(reply) else Err(WireError.BadFrame("unexpected reply ${reply::class.simpleName}"))
    }
