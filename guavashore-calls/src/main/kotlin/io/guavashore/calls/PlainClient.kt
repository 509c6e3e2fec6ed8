/*
 * Interface to plain services, as function types. The request to the target contains only the fields listed here;
 * the caller's headers are never copied.
 */
package io.guavashore.calls

import io.guavashore.api.AttemptId
import io.guavashore.api.Target

/** Header that carries the attempt's id; a response may echo it to name the attempt that it belongs to. */
const val ATTEMPT_HEADER = "Guavashore-Attempt"

/** Request to a plain service. [pathAndQuery] starts with a slash; [contentType] and [accept] are omitted if null. */
class PlainRequest(
    val method: String,
    val pathAndQuery: String,
    val contentType: String?,
    val accept: String?,
    val body: ByteArray,
)

/** Complete response of a plain service. [contentType] is null if the service gave none. */
class PlainResponse(
    val status: Int,
    val contentType: String?,
    val body: ByteArray,
)

/**
 * One attempt of a call to a plain service.
 *
 * @property maxResponseBytes maximum size of the response body
 * @property timeoutMs time limit of the attempt, including reading its response
 */
class PlainCall(
    val target: Target,
    val attempt: AttemptId,
    val request: PlainRequest,
    val maxResponseBytes: Long,
    val timeoutMs: Long,
)

/** Runs one attempt and returns the complete response, or throws [TargetFailure]. */
typealias CallPlain = suspend (PlainCall) -> PlainResponse
