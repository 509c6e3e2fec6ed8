/*
 * Runs generations on model engines. After a failed attempt, the generation resumes on another target after the tokens
 * produced so far, so the caller receives one consistent sequence. Each span keeps the weight version that produced it.
 */
package io.guavashore.calls

import com.github.michaelbull.result.Result
import io.guavashore.api.AttemptId
import io.guavashore.api.GenerateRequest
import io.guavashore.api.Generation
import io.guavashore.api.MonotonicClock
import io.guavashore.api.Refusal
import io.guavashore.api.TargetId
import io.guavashore.api.plusTokens

/** Returns a new, unique attempt id. */
typealias NewAttemptId = () -> AttemptId

/**
 * Runs generations on one pool. Thread-safe.
 *
 * @param onSpeed receives the number of tokens and the duration of each successful attempt
 */
class GenerationRunner(
    private val runner: CallRunner,
    private val engine: GenerateOnTarget,
    private val newAttemptId: NewAttemptId,
    private val clock: MonotonicClock,
    private val onSpeed: (target: TargetId, tokens: Int, elapsedMs: Long) -> Unit = { _, _, _ -> },
) {
    /**
     * Runs [request], resuming after the tokens in [from]. [onStart] receives the target of each attempt; [onChunk]
     * receives each further batch of tokens exactly once, in order.
     */
    suspend fun run(
        plan: CallPlan,
        request: GenerateRequest,
        from: Generation = Generation(emptyList(), emptyList()),
        onStart: (TargetId) -> Unit = {},
        onChunk: suspend (TokenChunk) -> Unit = {},
    ): Result<Generation, Refusal> {
        val tokens = ArrayList(from.tokens)
        var spans = from.spans
        return runner.run(plan.copy(canResume = true), partiallyDelivered = { tokens.isNotEmpty() }) { target ->
            val call = EngineCall(target, newAttemptId(), request, tokens.toList(), plan.slot.deadlineMs)
            onStart(target.id)
            val startedAtMs = clock()
            val tokensBefore = tokens.size
            engine(call).collect { chunk ->
                tokens += chunk.tokens
                spans = spans.plusTokens(chunk.version, chunk.tokens.size)
                onChunk(chunk)
            }
            onSpeed(target.id, tokens.size - tokensBefore, clock() - startedAtMs)
            Generation(tokens.toList(), spans)
        }
    }
}
