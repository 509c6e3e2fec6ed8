/*
 * Adapter to model engines over HTTP. A generation is one POST; the response has one line of JSON for each batch of
 * tokens. Each line repeats the attempt's id, so that a late or misrouted response is detected, and the last one
 * states the total number of tokens, so that a truncated response is detected.
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

/** Body of a generation request to an engine. The generation continues after the tokens in [produced]. */
@Serializable
data class EngineRequestBody(
    val attempt: String,
    val prompt: List<Int>,
    val produced: List<Int>,
    val maxTokens: Int,
    val prefixTokens: Int,
    val seed: Long,
)

/** One line of an engine's response. The last one has [done] set, no tokens, and the number of tokens in [total]. */
@Serializable
data class EngineResponseLine(
    val attempt: String,
    val firstIndex: Int = 0,
    val tokens: List<Int> = emptyList(),
    val version: Long? = null,
    val done: Boolean = false,
    val total: Int = 0,
)

/**
 * Client of model engines.
 *
 * @param idleTimeoutMs maximum time between two lines of a response
 */
class HttpEngineClient(
    private val client: HttpClient,
    private val clock: MonotonicClock,
    private val idleTimeoutMs: Long = 5_000,
) {
    private val json = Json { ignoreUnknownKeys = true }

    /** Runs a generation, as [GenerateOnTarget] specifies. */
    fun generate(call: EngineCall): Flow<TokenChunk> =
        flow {
            var responseStarted = false
            try {
                client
                    .preparePost("http://${call.target.endpoint}/generate") {
                        contentType(ContentType.Application.Json)
                        setBody(Json.encodeToString(body(call)))
                    }.execute { response ->
                        responseStarted = true
                        checkStatus(response)
                        readLines(call, response.bodyAsChannel())
                    }
            } catch (e: Exception) {
                throw toTargetFailure(e, responseStarted)
            }
        }

    /** Returns true if the target's health check succeeds within [HEALTH_TIMEOUT_MS]. */
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
            val waitMs = minOf(idleTimeoutMs, call.deadlineMs - clock())
            val text =
                withTimeout(waitMs) { channel.readUTF8Line() }
                    ?: throw TargetFailure(FailurePoint.ANSWERING, "response ended before its last line")
            val line = parse(text)
            if (line.attempt != call.attempt.value) {
                failInvalid("response belongs to attempt ${line.attempt}, expected ${call.attempt.value}")
            }
            if (line.done) {
                if (line.total != next) failInvalid("response has $next tokens, its last line states ${line.total}")
                return
            }
            if (line.firstIndex != next) failInvalid("line starts at token ${line.firstIndex}, expected $next")
            val version = line.version ?: failInvalid("line without a weight version")
            next += line.tokens.size
            emit(TokenChunk(line.firstIndex, line.tokens, WeightVersion(version)))
        }
    }

    private fun parse(text: String): EngineResponseLine =
        try {
            json.decodeFromString<EngineResponseLine>(text)
        } catch (e: SerializationException) {
            failInvalid("line is not a valid JSON response line")
        }

    private fun failInvalid(reason: String): Nothing = throw TargetFailure(FailurePoint.WRONG_ANSWER, reason)

    private companion object {
        const val HEALTH_TIMEOUT_MS = 500L
    }
}
