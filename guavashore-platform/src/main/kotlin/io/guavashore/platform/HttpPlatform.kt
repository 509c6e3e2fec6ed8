/*
 * Adapter to the platform over HTTP with JSON bodies. The platform's own wire format is not known yet; this is the
 * one that the stand-in serves, and the only place to change when it is.
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
data class WriteBody(
    val path: String,
    val value: String,
    val expected: Long,
)

/** Answer to a conditional write. */
@Serializable
data class WrittenBody(
    val version: Long,
)

/** Newest weights of a pool. */
@Serializable
data class LatestWeightsBody(
    val version: Long?,
)

/** Kind of a refusal of the platform, in its body. */
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

/** Builds the function types of the platform at [baseUrl]. */
class HttpPlatform(
    private val client: HttpClient,
    private val baseUrl: String,
    private val timeoutMs: Long = 1_500,
) {
    private val json = Json { ignoreUnknownKeys = true }

    private data class Answer(
        val status: HttpStatusCode,
        val body: String,
    )

    val store =
        ObjectStore(
            read = { path -> readObject(path) },
            write = { path, value, expected -> writeObject(path, value, expected) },
            list = { prefix -> getStore<List<StoredObject>>("/objects") { parameter("prefix", prefix) } },
            watch = { prefix, cursor, waitMs ->
                getStore<WatchBatch>("/watch", extraMs = waitMs) {
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
        val answer = call(HttpMethod.Get, "/object") { parameter("path", path.value) }
        return answer.storeAnswer {
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
        val body = json.encodeToString(WriteBody(path.value, value, expected.value))
        val answer =
            call(HttpMethod.Put, "/object") {
                contentType(ContentType.Application.Json)
                setBody(body)
            }
        if (answer is Sent && answer.answer.status == HttpStatusCode.Conflict) return Err(StoreError.Conflict(path))
        return answer.storeAnswer { ObjectVersion(json.decodeFromString<WrittenBody>(it.body).version) }
    }

    private suspend inline fun <reified T> getStore(
        path: String,
        extraMs: Long = 0,
        crossinline configure: HttpRequestBuilder.() -> Unit,
    ): Result<T, StoreError> =
        call(HttpMethod.Get, path, extraMs) {
            configure()
        }.storeAnswer { json.decodeFromString<T>(it.body) }

    private suspend inline fun <reified T> get(path: String): Result<T, PlatformError> =
        call(HttpMethod.Get, path) {}.platformAnswer { json.decodeFromString<T>(it.body) }

    private suspend inline fun <reified T> post(
        path: String,
        body: String,
    ): Result<T, PlatformError> = postText(path, body).platformAnswer { json.decodeFromString<T>(it.body) }

    private suspend fun postUnit(
        path: String,
        body: String,
    ): Result<Unit, PlatformError> = postText(path, body).platformAnswer { }

    private suspend fun postText(
        path: String,
        body: String,
    ) = call(HttpMethod.Post, path) {
        contentType(ContentType.Application.Json)
        setBody(body)
    }

    private sealed interface Outcome

    private data class Sent(
        val answer: Answer,
    ) : Outcome

    private data class Failed(
        val reason: String,
    ) : Outcome

    private suspend fun call(
        method: HttpMethod,
        path: String,
        extraMs: Long = 0,
        configure: HttpRequestBuilder.() -> Unit,
    ): Outcome =
        try {
            withTimeout(timeoutMs + extraMs) {
                val response =
                    client.request {
                        url("$baseUrl$path")
                        this.method = method
                        configure()
                    }
                Sent(Answer(response.status, response.bodyAsText()))
            }
        } catch (e: TimeoutCancellationException) {
            Failed("timeout")
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            Failed(e.javaClass.simpleName)
        }

    private inline fun <T> Outcome.storeAnswer(decode: (Answer) -> T): Result<T, StoreError> =
        when (this) {
            is Failed -> Err(StoreError.Unavailable(reason))
            is Sent ->
                when {
                    answer.status.isSuccess() || answer.status == HttpStatusCode.NotFound ->
                        decoded(
                            decode,
                        ).mapError(StoreError::Unavailable)
                    answer.status.value >= SERVER_ERROR -> Err(StoreError.Unavailable("status ${answer.status.value}"))
                    else -> Err(StoreError.Refused("status ${answer.status.value}: ${answer.body.take(MAX_REASON)}"))
                }
        }

    private inline fun <T> Outcome.platformAnswer(decode: (Answer) -> T): Result<T, PlatformError> =
        when (this) {
            is Failed -> Err(PlatformError.Unavailable(reason))
            is Sent ->
                when {
                    answer.status.isSuccess() -> decoded(decode).mapError(PlatformError::Unavailable)
                    answer.status.value >= SERVER_ERROR ->
                        Err(
                            PlatformError.Unavailable("status ${answer.status.value}"),
                        )
                    else -> Err(refusal(answer))
                }
        }

    private inline fun <T> Sent.decoded(decode: (Answer) -> T): Result<T, String> =
        try {
            Ok(decode(answer))
        } catch (e: SerializationException) {
            Err("answer that could not be read")
        }

    private fun refusal(answer: Answer): PlatformError {
        val body =
            try {
                json.decodeFromString<PlatformRefusalBody>(answer.body)
            } catch (e: SerializationException) {
                null
            }
        return when (body?.kind) {
            PlatformRefusalBody.FENCED -> PlatformError.Fenced
            PlatformRefusalBody.NONE_AVAILABLE -> PlatformError.NoneAvailable
            else -> PlatformError.Refused(body?.reason ?: "status ${answer.status.value}")
        }
    }

    private companion object {
        const val SERVER_ERROR = 500
        const val MAX_REASON = 200
    }
}
