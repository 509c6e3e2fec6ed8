/*
 * Plain service as function types. The request to the target is built from what is named here and nothing else; the
 * caller's own headers are never copied.
 */
package io.guavashore.calls

import io.guavashore.api.AttemptId
import io.guavashore.api.Target

/** Header by which an answer names the attempt that it belongs to. */
const val ATTEMPT_HEADER = "Guavashore-Attempt"

/** What a plain service is asked. [pathAndQuery] starts with a slash. */
class PlainRequest(
    val method: String,
    val pathAndQuery: String,
    val contentType: String?,
    val accept: String?,
    val body: ByteArray,
)

/** Whole answer of a plain service. */
class PlainResponse(
    val status: Int,
    val contentType: String?,
    val body: ByteArray,
)

/** One attempt of a plain call. [deadlineMs] is on the monotonic clock. */
class PlainCall(
    val target: Target,
    val attempt: AttemptId,
    val request: PlainRequest,
    val maxAnswerBytes: Long,
    val timeoutMs: Long,
)

/** Runs one attempt and returns the whole answer, or fails with [TargetFailure]. */
typealias CallPlain = suspend (PlainCall) -> PlainResponse
