/*
 * Adapter to the platform over HTTP with JSON bodies. The real platform's wire format is not known yet; the format
 * here is the one that the stand-in platform serves. Once the real format is known, only this file has to change.
 */
package io.guavashore.platform

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import com.github.michaelbull.result.mapError
import io.guavashore.api.TargetId
import io.guavashore.api.WeightVersion
import io.ktor.client.HttpClient
import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.parameter
import io.ktor.client.request.request
import io.ktor.client.request.setBody
import io.ktor.client.request.url
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.HttpMethod
import io.ktor.http.HttpStatusCode
import io.ktor.http.contentType
import io.ktor.http.isSuccess
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.withTimeout
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** Body of a conditional write. */
@Serializable
data class WriteRequestBody(
    val path: String,
    val value: String,
    val expected: Long,
)

/** Response to a conditional write. */
@Serializable
data class WriteResponseBody(
    val version: Long,
)

/** Newest weight version of a pool; null before the first. */
@Serializable
data class LatestWeightsBody(
    val version: Long?,
)

/** Body of a refusal by the platform. */
@Serializable
data class PlatformRefusalBody(
    val kind: String,
    val reason: String = "",
) {
    companion object {
        const val FENCED = "fenced"
        const val NONE_AVAILABLE = "none_available"
    }
}

/** Implements the platform's function types with HTTP calls to [baseUrl]. */
class HttpPlatform(
    private val client: HttpClient,
    private val baseUrl: String,
    private val timeoutMs: Long = 1_500,
) {
    private val json = Json { ignoreUnknownKeys = true }

    private data class Response(
        val status: HttpStatusCode,
        val body: String,
    )

    val store =
        ObjectStore(
            read = { path -> readObject(path) },
            write = { path, value, expected -> writeObject(path, value, expected) },
            list = { prefix -> getStore<List<StoredObject>>("/objects") { parameter("prefix", prefix) } },
            watch = { prefix, cursor, waitMs ->
                getStore<WatchBatch>("/watch", extraTimeoutMs = waitMs) {
                    parameter("prefix", prefix)
                    parameter("cursor", cursor)
                    parameter("waitMs", waitMs)
                }
            },
        )

    val platform =
        Platform(
            store = store,
            orders =
                TargetOrders(
                    list = { zone -> get("/zones/$zone/targets") },
                    start = { zone, order -> post("/zones/$zone/targets", json.encodeToString(order)) },
                    stop = {
                        zone,
                        order,
                        ->
                        postUnit("/zones/$zone/targets/${order.target}/stop", json.encodeToString(order))
                    },
                ),
            sendUsage = { report -> postUnit("/usage", json.encodeToString(report)) },
            listVms = { get("/vms") },
            latestWeights = { team, pool ->
                get<LatestWeightsBody>("/weights/$team/$pool").map { body -> body.version?.let(::WeightVersion) }
            },
        )

    private suspend fun readObject(path: ObjectPath): Result<StoredObject?, StoreError> {
        val outcome = call(HttpMethod.Get, "/object") { parameter("path", path.value) }
        return outcome.toStoreResult {
            if (it.status ==
                HttpStatusCode.NotFound
            ) {
                null
            } else {
                json.decodeFromString<StoredObject>(it.body)
            }
        }
    }

    private suspend fun writeObject(
        path: ObjectPath,
        value: String,
        expected: ObjectVersion,
    ): Result<ObjectVersion, StoreError> {
        val body = json.encodeToString(WriteRequestBody(path.value, value, expected.value))
        val outcome =
            call(HttpMethod.Put, "/object") {
                contentType(ContentType.Application.Json)
                setBody(body)
            }
        if (outcome is Responded && outcome.response.status == HttpStatusCode.Conflict) {
            return Err(StoreError.Conflict(path))
        }
        return outcome.toStoreResult { ObjectVersion(json.decodeFromString<WriteResponseBody>(it.body).version) }
    }

    private suspend inline fun <reified T> getStore(
        path: String,
        extraTimeoutMs: Long = 0,
        crossinline configure: HttpRequestBuilder.() -> Unit,
    ): Result<T, StoreError> =
        call(HttpMethod.Get, path, extraTimeoutMs) {
            configure()
        }.toStoreResult { json.decodeFromString<T>(it.body) }

    private suspend inline fun <reified T> get(path: String): Result<T, PlatformError> =
        call(HttpMethod.Get, path) {}.toPlatformResult { json.decodeFromString<T>(it.body) }

    private suspend inline fun <reified T> post(
        path: String,
        body: String,
    ): Result<T, PlatformError> = postText(path, body).toPlatformResult { json.decodeFromString<T>(it.body) }

    private suspend fun postUnit(
        path: String,
        body: String,
    ): Result<Unit, PlatformError> = postText(path, body).toPlatformResult { }

    private suspend fun postText(
        path: String,
        body: String,
    ) = call(HttpMethod.Post, path) {
        contentType(ContentType.Application.Json)
        setBody(body)
    }

    private sealed interface CallOutcome

    private data class Responded(
        val response: Response,
    ) : CallOutcome

    private data class NoResponse(
        val reason: String,
    ) : CallOutcome

    private suspend fun call(
        method: HttpMethod,
        path: String,
        extraTimeoutMs: Long = 0,
        configure: HttpRequestBuilder.() -> Unit,
    ): CallOutcome =
        try {
            withTimeout(timeoutMs + extraTimeoutMs) {
                val response =
                    client.request {
                        url("$baseUrl$path")
                        this.method = method
                        configure()
                    }
                Responded(Response(response.status, response.bodyAsText()))
            }
        } catch (e: TimeoutCancellationException) {
            NoResponse("timeout")
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            NoResponse(e.javaClass.simpleName)
        }

    private inline fun <T> CallOutcome.toStoreResult(decode: (Response) -> T): Result<T, StoreError> =
        when (this) {
            is NoResponse -> Err(StoreError.Unavailable(reason))
            is Responded ->
                when {
                    response.status.isSuccess() || response.status == HttpStatusCode.NotFound ->
                        decodeBody(
                            decode,
                        ).mapError(StoreError::Unavailable)
                    response.status.value >= FIRST_SERVER_ERROR_STATUS ->
                        Err(StoreError.Unavailable("status ${response.status.value}"))
                    else ->
                        Err(
                            StoreError.Refused(
                                "status ${response.status.value}: ${response.body.take(MAX_REASON_CHARS)}",
                            ),
                        )
                }
        }

    private inline fun <T> CallOutcome.toPlatformResult(decode: (Response) -> T): Result<T, PlatformError> =
        when (this) {
            is NoResponse -> Err(PlatformError.Unavailable(reason))
            is Responded ->
                when {
                    response.status.isSuccess() -> decodeBody(decode).mapError(PlatformError::Unavailable)
                    response.status.value >= FIRST_SERVER_ERROR_STATUS ->
                        Err(
                            PlatformError.Unavailable("status ${response.status.value}"),
                        )
                    else -> Err(refusal(response))
                }
        }

    private inline fun <T> Responded.decodeBody(decode: (Response) -> T): Result<T, String> =
        try {
            Ok(decode(response))
        } catch (e: SerializationException) {
            Err("response body could not be decoded")
        }

    private fun refusal(response: Response): PlatformError {
        val body =
            try {
                json.decodeFromString<PlatformRefusalBody>(response.body)
            } catch (e: SerializationException) {
                null
            }
        return when (body?.kind) {
            PlatformRefusalBody.FENCED -> PlatformError.Fenced
            PlatformRefusalBody.NONE_AVAILABLE -> PlatformError.NoneAvailable
            else -> PlatformError.Refused(body?.reason ?: "status ${response.status.value}")
        }
    }

    private companion object {
        const val FIRST_SERVER_ERROR_STATUS = 500
        const val MAX_REASON_CHARS = 200
    }
}
