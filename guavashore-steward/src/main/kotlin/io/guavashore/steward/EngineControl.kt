/*
 * Orders to model engines and what they say of themselves, as function types, and their adapter over HTTP.
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

/** What an engine says of itself. */
@Serializable
data class EngineState(
    val version: Long? = null,
    val loading: Boolean = false,
    val running: Int = 0,
    val slots: Int = 0,
)

/** Order to load weights. */
@Serializable
data class LoadOrder(
    val version: Long,
    val fencingNumber: Long,
)

/** Orders and questions to engines; null or false if there was no answer. */
internal class EngineControl(
    val state: suspend (Target) -> EngineState?,
    val load: suspend (Target, WeightVersion, FencingNumber) -> Boolean,
    val isUp: suspend (Target) -> Boolean,
)

/** Adapter over HTTP. */
internal class HttpEngineControl(
    private val client: HttpClient,
    private val timeoutMs: Long = 500,
) {
    private val json = Json { ignoreUnknownKeys = true }

    val control =
        EngineControl(
            state = { target ->
                ask { json.decodeFromString<EngineState>(client.get("http://${target.endpoint}/state").bodyAsText()) }
            },
            load = { target, version, fencing -> ask { load(target, version, fencing) } ?: false },
            isUp = { target -> ask { client.get("http://${target.endpoint}/health").status.isSuccess() } ?: false },
        )

    private suspend fun load(
        target: Target,
        version: WeightVersion,
        fencing: FencingNumber,
    ): Boolean =
        client
            .post("http://${target.endpoint}/load") {
                contentType(ContentType.Application.Json)
                setBody(Json.encodeToString(LoadOrder(version.value, fencing.value)))
            }.status
            .isSuccess()

    private suspend fun <T> ask(block: suspend () -> T): T? =
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
