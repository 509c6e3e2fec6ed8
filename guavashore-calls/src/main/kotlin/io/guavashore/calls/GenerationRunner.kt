/*
 * Generations on engines. An attempt that breaks is continued on another target after the tokens produced so far,
 * so the caller never sees parts of two runs; each span keeps the version that produced it.
 */
package io.guavashore.calls

import com.github.michaelbull.result.Result
import io.guavashore.api.AttemptId
import io.guavashore.api.GenerateRequest
import io.guavashore.api.Generation
import io.guavashore.api.Refusal
import io.guavashore.api.TokenSpan
import io.guavashore.api.plusTokens

/** Makes the id of a new attempt. */
typealias NewAttemptId = () -> AttemptId

/** Runs generations of one pool. Thread-safe. */
class GenerationRunner(
    private val runner: CallRunner,
    private val engine: GenerateOnTarget,
    private val newAttemptId: NewAttemptId,
) {
    /** Runs [request]; [onChunk] is given each batch of tokens once, in order. */
    suspend fun run(
        plan: CallPlan,
        request: GenerateRequest,
        onChunk: suspend (TokenChunk) -> Unit = {},
    ): Result<Generation, Refusal> {
        val tokens = ArrayList<Int>()
        var spans = emptyList<TokenSpan>()
        return runner.run(plan.copy(canContinue = true), deliveredSome = { tokens.isNotEmpty() }) { target ->
            val call = EngineCall(target, newAttemptId(), request, tokens.toList(), plan.slot.deadlineMs)
            engine(call).collect { chunk ->
                tokens += chunk.tokens
                spans = spans.plusTokens(chunk.version, chunk.tokens.size)
                onChunk(chunk)
            }
            Generation(tokens.toList(), spans)
        }
    }
}
