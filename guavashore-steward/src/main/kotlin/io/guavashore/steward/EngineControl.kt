/*
 * Requests to model engines (state, health, weight loading) as function types, and their implementation over HTTP.
 */
package io.guavashore.steward

import io.guavashore.api.FencingNumber
import io.guavashore.api.Target
import io.guavashore.api.WeightVersion
import io.ktor.client.HttpClient
import io.ktor.client.request.get
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.contentType
import io.ktor.http.isSuccess
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
    private val client: HttpClient,
    private val timeoutMs: Long = 500,
) {
    private val json = Json { ignoreUnknownKeys = true }

    val control =
        EngineControl(
            state = { target ->
                requestOrNull {
                    val response = client.get("http://${target.endpoint}/state")
                    if (response.status.isSuccess()) json.decodeFromString(response.bodyAsText()) else null
                }
            },
            load = { target, version, fencingNumber ->
                requestOrNull { load(target, version, fencingNumber) } ?: false
            },
            isUp = { target ->
                requestOrNull { client.get("http://${target.endpoint}/health").status.isSuccess() } ?: false
            },
        )

    private suspend fun load(
        target: Target,
        version: WeightVersion,
        fencingNumber: FencingNumber,
    ): Boolean =
        client
            .post("http://${target.endpoint}/load") {
                contentType(ContentType.Application.Json)
                setBody(Json.encodeToString(LoadOrder(version.value, fencingNumber.value)))
            }.status
            .isSuccess()

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
}
