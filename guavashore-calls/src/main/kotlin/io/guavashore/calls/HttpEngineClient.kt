/*
 * Adapter to model engines over HTTP. A generation is one POST; the response has one line of JSON for each batch of
 * tokens. Each line repeats the attempt's id, so that a late or misrouted response is detected, and the last one
 * states the total number of tokens, so that a truncated response is detected.
 *
 * Each attempt has a connection of its own: a refusal states no attempt, so a late duplicate of one could not be told
 * from the response to the next request.
 */
package io.guavashore.calls

import io.github.oshai.kotlinlogging.KotlinLogging
import io.guavashore.api.GenerateRequest
import io.guavashore.api.MonotonicClock
import io.guavashore.api.Target
import io.guavashore.api.WeightVersion
import io.guavashore.net.ExchangeFailure
import io.guavashore.net.Headers
import io.guavashore.net.HttpConnection
import io.guavashore.net.HttpRequestMessage
import io.guavashore.net.SingleExchangeClient
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.channels.Channel.Factory.RENDEZVOUS
import kotlinx.coroutines.channels.ProducerScope
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.buffer
import kotlinx.coroutines.flow.channelFlow
import kotlinx.coroutines.withTimeout
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

private val log = KotlinLogging.logger {}

/**
 * Client of model engines. It follows no redirects and never repeats a request.
 *
 * @param idleTimeoutMs maximum time between two lines of a response
 */
class HttpEngineClient(
    private val clock: MonotonicClock,
    private val idleTimeoutMs: Long = 5_000,
) : AutoCloseable {
    private val json = Json { ignoreUnknownKeys = true }
    private val client = SingleExchangeClient()

    /** Runs a generation, as [GenerateOnTarget] specifies. */
    fun generate(call: EngineCall): Flow<TokenChunk> =
        channelFlow {
            var responseStarted = false
            try {
                client.exchange(call.target.endpoint, generateRequest(call)) { connection ->
                    val head = withTimeout(call.deadlineMs - clock()) { connection.head() }
                    responseStarted = true
                    checkStatus(head.status)
                    readLines(call, ResponseLines(connection))
                    awaitEnd(connection)
                }
            } catch (e: Exception) {
                throw toTargetFailure(e, responseStarted)
            }
        }.buffer(RENDEZVOUS)

    /** Returns true if the target's health check succeeds within [HEALTH_TIMEOUT_MS]. */
    suspend fun isUp(target: Target): Boolean =
        try {
            val request = HttpRequestMessage("GET", "/health", Headers.of("Host" to target.endpoint.toString()))
            withTimeoutOrNull(HEALTH_TIMEOUT_MS) { client.request(target.endpoint, request).status in SUCCESSES } ==
                true
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            false
        }

    override fun close() = client.close()

    private fun generateRequest(call: EngineCall): HttpRequestMessage {
        val headers = Headers.of("Host" to call.target.endpoint.toString(), "Content-Type" to "application/json")
        return HttpRequestMessage("POST", "/generate", headers, Json.encodeToString(body(call)).encodeToByteArray())
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

    private fun checkStatus(status: Int) {
        if (status == OK) return
        throw TargetFailure(
            if (status in REFUSALS) FailurePoint.REFUSED else FailurePoint.WRONG_ANSWER,
            "status $status",
        )
    }

    private suspend fun ProducerScope<TokenChunk>.readLines(
        call: EngineCall,
        lines: ResponseLines,
    ) {
        var next = call.produced.size
        while (true) {
            val waitMs = minOf(idleTimeoutMs, call.deadlineMs - clock())
            val text =
                withTimeout(waitMs) { lines.next() }
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
            send(TokenChunk(line.firstIndex, line.tokens, WeightVersion(version)))
        }
    }

    /**
     * Waits for the end of a response whose last line has been read, so that a sound exchange is not reset. What
     * follows the last line changes nothing in the generation.
     */
    private suspend fun awaitEnd(connection: HttpConnection) {
        try {
            withTimeoutOrNull(END_TIMEOUT_MS) { connection.nextPart() }
        } catch (e: ExchangeFailure) {
            log.debug { "response broke off after its last line: ${connection.logFields} cause=${e.message}" }
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

        /** Maximum time between the last line of a response and the end of the response. */
        const val END_TIMEOUT_MS = 100L

        const val OK = 200
        val SUCCESSES = 200..299

        /** Too Many Requests, Service Unavailable. */
        val REFUSALS = setOf(429, 503)
    }
}
