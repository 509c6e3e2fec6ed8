/*
 * Interface to model engines, as function types. An engine's wire format is known to its adapter only.
 */
package io.guavashore.calls

import io.guavashore.api.AttemptId
import io.guavashore.api.GenerateRequest
import io.guavashore.api.Target
import io.guavashore.api.WeightVersion
import kotlinx.coroutines.flow.Flow

/** Tokens produced by one weight version, as stated by the engine. [firstIndex] counts from the generation's start. */
data class TokenChunk(
    val firstIndex: Int,
    val tokens: List<Int>,
    val version: WeightVersion,
)

/**
 * A generation on one target, which continues after the tokens in [produced].
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
 * Runs a generation. The flow ends after the last token or throws [TargetFailure]. Cancelling its collection cancels
 * the generation on the engine.
 */
typealias GenerateOnTarget = (EngineCall) -> Flow<TokenChunk>

/** Returns true if the target still responds, which distinguishes a broken connection from a crash. */
typealias IsTargetUp = suspend (Target) -> Boolean
