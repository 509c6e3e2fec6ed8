/*
 * Adapter to model engines over HTTP: one POST, answered by a line of JSON for each batch of tokens. Each line
 * repeats the attempt's id, so that a late or crossed answer is noticed, and the last one tells the number of
 * tokens.
 */
package io.guavashore.calls

import io.guavashore.api.GenerateRequest
import io.guavashore.api.MonotonicClock
import io.guavashore.api.Target
import io.guavashore.api.WeightVersion
import io.ktor.client.HttpClient
import io.ktor.client.request.get
import io.ktor.client.request.preparePost
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsChannel
import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.http.contentType
import io.ktor.http.isSuccess
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readUTF8Line
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.FlowCollector
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.withTimeout
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** Body of a generation request to an engine. */
@Serializable
data class EngineRequestBody(
    val attempt: String,
    val prompt: List<Int>,
    val produced: List<Int>,
    val maxTokens: Int,
    val prefixTokens: Int,
    val seed: Long,
)

/** One line of an engine's answer. The last one has [done] set and no tokens. */
@Serializable
data class EngineLine(
    val attempt: String,
    val firstIndex: Int = 0,
    val tokens: List<Int> = emptyList(),
    val version: Long? = null,
    val done: Boolean = false,
    val total: Int = 0,
)

/** Client of engines. */
class HttpEngineClient(
    private val client: HttpClient,
    private val clock: MonotonicClock,
    private val silenceMs: Long = 5_000,
) {
    private val json = Json { ignoreUnknownKeys = true }

    fun generate(call: EngineCall): Flow<TokenChunk> =
        flow {
            var answered = false
            try {
                client
                    .preparePost("http://${call.target.endpoint}/generate") {
                        contentType(ContentType.Application.Json)
                        setBody(Json.encodeToString(body(call)))
                    }.execute { response ->
                        answered = true
                        checkStatus(response)
                        readLines(call, response.bodyAsChannel())
                    }
            } catch (e: Exception) {
                throw asTargetFailure(e, answered)
            }
        }

    /** True if the target answers its health check in time. */
    suspend fun isUp(target: Target): Boolean =
        try {
            withTimeout(HEALTH_TIMEOUT_MS) { client.get("http://${target.endpoint}/health").status.isSuccess() }
        } catch (e: TimeoutCancellationException) {
            false
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            false
        }

    private fun body(call: EngineCall): EngineRequestBody {
        val request: GenerateRequest = call.request
        return EngineRequestBody(
            attempt = call.attempt.value,
            prompt = request.prompt,
            produced = call.produced,
            maxTokens = request.maxTokens,
            prefixTokens = request.prefixTokens,
            seed = request.seed,
        )
    }

    private fun checkStatus(response: HttpResponse) {
        if (response.status == HttpStatusCode.OK) return
        val refused =
            response.status == HttpStatusCode.ServiceUnavailable || response.status == HttpStatusCode.TooManyRequests
        throw TargetFailure(
            if (refused) FailurePoint.REFUSED else FailurePoint.WRONG_ANSWER,
            "status ${response.status.value}",
        )
    }

    private suspend fun FlowCollector<TokenChunk>.readLines(
        call: EngineCall,
        channel: ByteReadChannel,
    ) {
        var next = call.produced.size
        while (true) {
            val waitMs = minOf(silenceMs, call.deadlineMs - clock())
            val text =
                withTimeout(waitMs) { channel.readUTF8Line() }
                    ?: throw TargetFailure(FailurePoint.ANSWERING, "the answer ended early")
            val line = parse(text)
            if (line.attempt != call.attempt.value) wrong("answer to another attempt")
            if (line.done) {
                if (line.total != next) wrong("tokens are missing")
                return
            }
            if (line.firstIndex != next) wrong("tokens out of order")
            val version = line.version ?: wrong("no weight version")
            next += line.tokens.size
            emit(TokenChunk(line.firstIndex, line.tokens, WeightVersion(version)))
        }
    }

    private fun parse(text: String): EngineLine =
        try {
            json.decodeFromString<EngineLine>(text)
        } catch (e: SerializationException) {
            wrong("not a line of an answer")
        }

    private fun wrong(reason: String): Nothing = throw TargetFailure(FailurePoint.WRONG_ANSWER, reason)

    private companion object {
        const val HEALTH_TIMEOUT_MS = 500L
    }
}
