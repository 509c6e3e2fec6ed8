/*
 * `POST /v1/{team}/{service}/generate`: generates tokens with a model. The response is one JSON document or a stream of
 * JSON lines.
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

/** Request body. The first [prefixTokens] tokens of [prompt] are shared with other requests and affect routing. */
@Serializable
internal data class GenerateBody(
    val prompt: List<Int>,
    val maxTokens: Int,
    val prefixTokens: Int = 0,
    val seed: Long = 0,
    val stream: Boolean = false,
)

/** Complete response; [spans] tells which weight version produced which tokens. */
@Serializable
internal data class GenerateResponse(
    val tokens: List<Int>,
    val spans: List<TokenSpan>,
)

/** One line of a streamed response; the last one has [done] or [problem] set. */
@Serializable
internal data class GenerateStreamLine(
    val firstIndex: Int = 0,
    val tokens: List<Int> = emptyList(),
    val weightVersion: Long? = null,
    val done: Boolean = false,
    val problem: Problem? = null,
)

/** Handles generation calls of models. */
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
        admitted: AdmittedCall,
    ) {
        if (admitted.service.kind != TargetKind.MODEL) {
            return call.respondProblem(badRequestRefusal("service ${admitted.service.id} is not a model; use /call"))
        }
        val bytes = call.readBody(admitted.service.maxRequestBytes).getOrElse { return call.respondProblem(it) }
        val body = decodeBody<GenerateBody>(bytes).getOrElse { return call.respondProblem(it) }
        refusalOf(body)?.let { return call.respondProblem(it) }
        call.checkKeyNotRepeated("", bytes).getOrElse { return call.respondProblem(it) }
        val deadlineMs =
            call
                .deadlineMs(admitted.service.timeoutMs, services.clock, services.wallClock)
                .getOrElse { return call.respondProblem(it) }
        val plan = plan(admitted, body, bytes, deadlineMs)
        if (body.stream) respondStream(call, admitted, body, plan) else respondComplete(call, admitted, body, plan)
    }

    private fun refusalOf(body: GenerateBody): Refusal? {
        val message =
            when {
                body.prompt.isEmpty() -> "prompt must have at least one token"
                body.maxTokens !in 1..MAX_TOKENS -> "max_tokens must be from 1 to $MAX_TOKENS"
                body.prefixTokens !in 0..body.prompt.size -> "prefix_tokens must be from 0 to the length of the prompt"
                else -> return null
            }
        return badRequestRefusal(message)
    }

    private fun plan(
        admitted: AdmittedCall,
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

    private suspend fun respondComplete(
        call: ApplicationCall,
        admitted: AdmittedCall,
        body: GenerateBody,
        plan: CallPlan,
    ) {
        run(admitted, body, plan) {}
            .onFailure { call.respondProblem(it) }
            .onSuccess {
                val response = apiJson.encodeToString(GenerateResponse(it.tokens, it.spans))
                call.respondText(response, ContentType.Application.Json)
                services.countDelivered(admitted, UsageAmount(requests = 1, tokens = it.tokens.size.toLong()))
            }
    }

    private suspend fun respondStream(
        call: ApplicationCall,
        admitted: AdmittedCall,
        body: GenerateBody,
        plan: CallPlan,
    ) = coroutineScope {
        // Unlimited, so that a slow caller doesn't hold a slot of the engine; max_tokens bounds the number of events.
        val events = Channel<Event>(Channel.UNLIMITED)
        val generation = launch { events.send(End(run(admitted, body, plan) { events.send(Chunk(it)) })) }
        try {
            val first = events.receive()
            if (first is End && first.outcome.isErr) {
                first.outcome.onFailure { call.respondProblem(it) }
            } else {
                call.respondBytesWriter(ndjson) { writeEvents(first, events, admitted) }
            }
        } finally {
            generation.cancel()
        }
    }

    private suspend fun ByteWriteChannel.writeEvents(
        first: Event,
        events: Channel<Event>,
        admitted: AdmittedCall,
    ) {
        var sentTokens = 0L
        try {
            var event = first
            while (event is Chunk) {
                val chunk = event.chunk
                writeLine(GenerateStreamLine(chunk.firstIndex, chunk.tokens, chunk.version.value))
                sentTokens += chunk.tokens.size
                event = events.receive()
            }
            (event as End)
                .outcome
                .onSuccess { writeLine(GenerateStreamLine(firstIndex = it.tokens.size, done = true)) }
                .onFailure { writeLine(GenerateStreamLine(problem = it.toProblem())) }
        } finally {
            services.countDelivered(admitted, UsageAmount(requests = 1, tokens = sentTokens))
        }
    }

    private suspend fun ByteWriteChannel.writeLine(line: GenerateStreamLine) {
        writeStringUtf8(apiJson.encodeToString(line) + "\n")
        flush()
    }

    private suspend fun run(
        admitted: AdmittedCall,
        body: GenerateBody,
        plan: CallPlan,
        onChunk: suspend (TokenChunk) -> Unit,
    ): Result<Generation, Refusal> {
        var producedTokens = 0L
        val request = GenerateRequest(body.prompt, body.maxTokens, body.prefixTokens, body.seed)
        return services.timed(admitted, WorkClass.PUBLIC) {
            services.admissionController.whileKeyValid(admitted.team.declaration.team, admitted.caller.key) {
                services.admissionController.withinLimits(admitted, body.maxTokens.toLong(), { producedTokens }) {
                    admitted.pool.generationRunner.run(plan, request, onChunk = { chunk ->
                        producedTokens += chunk.tokens.size
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
