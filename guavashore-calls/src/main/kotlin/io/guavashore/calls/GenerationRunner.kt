/*
 * Generations on engines. An attempt that breaks is continued on another target after the tokens produced so far,
 * so the caller never sees parts of two runs; each span keeps the version that produced it.
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

/** Makes the id of a new attempt. */
typealias NewAttemptId = () -> AttemptId

/** Runs generations of one pool. Thread-safe. */
class GenerationRunner(
    private val runner: CallRunner,
    private val engine: GenerateOnTarget,
    private val newAttemptId: NewAttemptId,
    private val clock: MonotonicClock,
    private val onSpeed: (target: TargetId, tokens: Int, elapsedMs: Long) -> Unit = { _, _, _ -> },
) {
    /**
     * Runs [request], going on after [from] if some of it is there already. [onStart] is told the target of each
     * attempt; [onChunk] is given each further batch of tokens once, in order.
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
        return runner.run(plan.copy(canContinue = true), deliveredSome = { tokens.isNotEmpty() }) { target ->
            val call = EngineCall(target, newAttemptId(), request, tokens.toList(), plan.slot.deadlineMs)
            onStart(target.id)
            val startedAtMs = clock()
            val before = tokens.size
            engine(call).collect { chunk ->
                tokens += chunk.tokens
                spans = spans.plusTokens(chunk.version, chunk.tokens.size)
                onChunk(chunk)
            }
            onSpeed(target.id, tokens.size - before, clock() - startedAtMs)
            Generation(tokens.toList(), spans)
        }
    }
}
