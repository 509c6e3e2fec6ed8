/*
 * Requests to model engines (state, health, weight loading) as function types, and their implementation over HTTP.
 */
package io.guavashore.steward

import io.guavashore.api.FencingNumber
import io.guavashore.api.Target
import io.guavashore.api.WeightVersion
import io.guavashore.net.Headers
import io.guavashore.net.HttpRequestMessage
import io.guavashore.net.HttpResponseMessage
import io.guavashore.net.SingleExchangeClient
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.withTimeout
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** State that an engine reports; [version] is that of its weights, null if it reports none. */
@Serializable
data class EngineState(
    val version: Long? = null,
    val loading: Boolean = false,
    val running: Int = 0,
    val slots: Int = 0,
)

/** Body of the request that orders an engine to load weights. */
@Serializable
data class LoadOrder(
    val version: Long,
    val fencingNumber: Long,
)

/** Requests to engines. The functions return null or false if no valid response arrived in time. */
internal class EngineControl(
    val state: suspend (Target) -> EngineState?,
    val load: suspend (Target, WeightVersion, FencingNumber) -> Boolean,
    val isUp: suspend (Target) -> Boolean,
)

/** Sends the requests of [control] over HTTP. */
internal class HttpEngineControl(
    private val timeoutMs: Long = 500,
) : AutoCloseable {
    private val json = Json { ignoreUnknownKeys = true }
    private val client = SingleExchangeClient()

    val control =
        EngineControl(
            state = { target ->
                requestOrNull {
                    val response = get(target, "/state")
                    if (response.isSuccess) json.decodeFromString(response.body.decodeToString()) else null
                }
            },
            load = { target, version, fencingNumber ->
                requestOrNull { load(target, version, fencingNumber) } ?: false
            },
            isUp = { target -> requestOrNull { get(target, "/health").isSuccess } ?: false },
        )

    override fun close() = client.close()

    private val HttpResponseMessage.isSuccess: Boolean get() = status in SUCCESSES

    private suspend fun get(
        target: Target,
        path: String,
    ): HttpResponseMessage {
        val headers = Headers.of("Host" to target.endpoint.toString())
        return client.request(target.endpoint, HttpRequestMessage("GET", path, headers))
    }

    private suspend fun load(
        target: Target,
        version: WeightVersion,
        fencingNumber: FencingNumber,
    ): Boolean {
        val headers = Headers.of("Host" to target.endpoint.toString(), "Content-Type" to "application/json")
        val order = Json.encodeToString(LoadOrder(version.value, fencingNumber.value)).encodeToByteArray()
        return client.request(target.endpoint, HttpRequestMessage("POST", "/load", headers, order)).isSuccess
    }

    private suspend fun <T> requestOrNull(block: suspend () -> T): T? =
        try {
            withTimeout(timeoutMs) { block() }
        } catch (e: TimeoutCancellationException) {
            null
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            null
        }

    private companion object {
        val SUCCESSES = 200..299
    }
}
