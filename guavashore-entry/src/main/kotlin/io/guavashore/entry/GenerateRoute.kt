/*
 * `POST /v1/{team}/{service}/generate`: tokens of a model, as one JSON document or as a stream of JSON lines.
 */
package io.guavashore.entry

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import io.guavashore.admission.WorkClass
import io.guavashore.api.GenerateRequest
import io.guavashore.api.Generation
import io.guavashore.api.Refusal
import io.guavashore.api.TargetKind
import io.guavashore.api.TokenSpan
import io.guavashore.api.UsageAmount
import io.guavashore.calls.CallPlan
import io.guavashore.calls.SlotRequest
import io.guavashore.calls.TokenChunk
import io.guavashore.routing.RequestFingerprint
import io.ktor.http.ContentType
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.respondBytesWriter
import io.ktor.server.response.respondText
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeStringUtf8
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.serialization.Serializable

/** Body of the request. */
@Serializable
internal data class GenerateBody(
    val prompt: List<Int>,
    val maxTokens: Int,
    val prefixTokens: Int = 0,
    val seed: Long = 0,
    val stream: Boolean = false,
)

/** Whole answer. */
@Serializable
internal data class GenerateAnswer(
    val tokens: List<Int>,
    val spans: List<TokenSpan>,
)

/** One line of a streamed answer; the last has [done] or [problem]. */
@Serializable
internal data class GenerateLine(
    val firstIndex: Int = 0,
    val tokens: List<Int> = emptyList(),
    val weightVersion: Long? = null,
    val done: Boolean = false,
    val problem: Problem? = null,
)

/** Handler of the route. */
internal class GenerateRoute(
    private val services: EntryServices,
) {
    private sealed interface Event

    private class Chunk(
        val chunk: TokenChunk,
    ) : Event

    private class End(
        val outcome: Result<Generation, Refusal>,
    ) : Event

    suspend fun handle(
        call: ApplicationCall,
        admitted: Admitted,
    ) {
        if (admitted.service.kind != TargetKind.MODEL) {
            return call.respondProblem(badRequestRefusal("service ${admitted.service.id} is no model; use /call"))
        }
        val bytes = call.readBody(admitted.service.maxRequestBytes).getOrElse { return call.respondProblem(it) }
        val body = decodeBody<GenerateBody>(bytes).getOrElse { return call.respondProblem(it) }
        problemWith(body)?.let { return call.respondProblem(it) }
        call.checkKeyNotRepeated("", bytes).getOrElse { return call.respondProblem(it) }
        val deadlineMs =
            call
                .deadlineMs(admitted.service.timeoutMs, services.clock, services.wallClock)
                .getOrElse { return call.respondProblem(it) }
        val plan = plan(admitted, body, bytes, deadlineMs)
        if (body.stream) stream(call, admitted, body, plan) else whole(call, admitted, body, plan)
    }

    private fun problemWith(body: GenerateBody): Refusal? {
        val message =
            when {
                body.prompt.isEmpty() -> "prompt must have at least one token"
                body.maxTokens !in 1..MAX_TOKENS -> "max_tokens must be from 1 to $MAX_TOKENS"
                body.prefixTokens !in 0..body.prompt.size -> "prefix_tokens must be from 0 to the prompt's length"
                else -> return null
            }
        return badRequestRefusal(message)
    }

    private fun plan(
        admitted: Admitted,
        body: GenerateBody,
        bytes: ByteArray,
        deadlineMs: Long,
    ) = CallPlan(
        slot =
            SlotRequest(
                organisation = admitted.caller.organisation,
                workClass = WorkClass.PUBLIC,
                cost = body.maxTokens.toLong(),
                deadlineMs = deadlineMs,
                prefixKey =
                    body.prompt
                        .take(body.prefixTokens)
                        .takeIf { it.isNotEmpty() }
                        ?.hashCode()
                        ?.toString(),
            ),
        fingerprint = RequestFingerprint.of(admitted.caller.organisation, bytes),
        idempotent = true,
    )

    private suspend fun whole(
        call: ApplicationCall,
        admitted: Admitted,
        body: GenerateBody,
        plan: CallPlan,
    ) {
        run(admitted, body, plan) {}
            .onFailure { call.respondProblem(it) }
            .onSuccess {
                val answer = apiJson.encodeToString(GenerateAnswer(it.tokens, it.spans))
                call.respondText(answer, ContentType.Application.Json)
                services.delivered(admitted, UsageAmount(requests = 1, tokens = it.tokens.size.toLong()))
            }
    }

    private suspend fun stream(
        call: ApplicationCall,
        admitted: Admitted,
        body: GenerateBody,
        plan: CallPlan,
    ) = coroutineScope {
        // Bounded by max_tokens, so that a slow caller holds no slot of the engine.
        val events = Channel<Event>(Channel.UNLIMITED)
        val work = launch { events.send(End(run(admitted, body, plan) { events.send(Chunk(it)) })) }
        try {
            val first = events.receive()
            if (first is End && first.outcome.isErr) {
                first.outcome.onFailure { call.respondProblem(it) }
            } else {
                call.respondBytesWriter(ndjson) { writeEvents(first, events, admitted) }
            }
        } finally {
            work.cancel()
        }
    }

    private suspend fun ByteWriteChannel.writeEvents(
        first: Event,
        events: Channel<Event>,
        admitted: Admitted,
    ) {
        var tokens = 0L
        try {
            var event = first
            while (event is Chunk) {
                val chunk = event.chunk
                writeLine(GenerateLine(chunk.firstIndex, chunk.tokens, chunk.version.value))
                tokens += chunk.tokens.size
                event = events.receive()
            }
            (event as End)
                .outcome
                .onSuccess { writeLine(GenerateLine(firstIndex = it.tokens.size, done = true)) }
                .onFailure { writeLine(GenerateLine(problem = it.toProblem())) }
        } finally {
            services.delivered(admitted, UsageAmount(requests = 1, tokens = tokens))
        }
    }

    private suspend fun ByteWriteChannel.writeLine(line: GenerateLine) {
        writeStringUtf8(apiJson.encodeToString(line) + "\n")
        flush()
    }

    private suspend fun run(
        admitted: Admitted,
        body: GenerateBody,
        plan: CallPlan,
        onChunk: suspend (TokenChunk) -> Unit,
    ): Result<Generation, Refusal> {
        var produced = 0L
        val request = GenerateRequest(body.prompt, body.maxTokens, body.prefixTokens, body.seed)
        return services.timed(admitted, WorkClass.PUBLIC) {
            services.gate.whileInForce(admitted.team.declaration.team, admitted.caller.key) {
                services.gate.withinLimits(admitted, body.maxTokens.toLong(), { produced }) {
                    admitted.pool.generations.run(plan, request, onChunk = { chunk ->
                        produced += chunk.tokens.size
                        onChunk(chunk)
                    })
                }
            }
        }
    }

    private companion object {
        const val MAX_TOKENS = 32_768
        val ndjson = ContentType.parse("application/x-ndjson")
    }
}
