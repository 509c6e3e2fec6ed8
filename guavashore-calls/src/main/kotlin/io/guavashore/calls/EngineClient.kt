/*
 * Model engine as function types. Nothing outside an adapter knows its wire format.
 */
package io.guavashore.calls

import io.guavashore.api.AttemptId
import io.guavashore.api.GenerateRequest
import io.guavashore.api.Target
import io.guavashore.api.WeightVersion
import kotlinx.coroutines.flow.Flow

/** Tokens that one weight version produced, as the engine says. [firstIndex] counts from the generation's start. */
data class TokenChunk(
    val firstIndex: Int,
    val tokens: List<Int>,
    val version: WeightVersion,
)

/**
 * A generation on one target, which goes on after the tokens in [produced].
 *
 * @property deadlineMs on the monotonic clock
 */
data class EngineCall(
    val target: Target,
    val attempt: AttemptId,
    val request: GenerateRequest,
    val produced: List<Int>,
    val deadlineMs: Long,
)

/**
 * Runs a generation; the flow ends after the last token or fails with [TargetFailure]. Cancelling it frees the
 * engine.
 */
typealias GenerateOnTarget = (EngineCall) -> Flow<TokenChunk>

/** True if the target still answers. Tells a crash from a broken connection. */
typealias IsTargetUp = suspend (Target) -> Boolean
