/*
 * Error responses that guavashore itself returns to callers. Each kind has one HTTP status; the message names
 * the remedy.
 */
package io.guavashore.api

import kotlinx.serialization.Serializable

/** Kinds of refusal, with the HTTP status of each. */
@Serializable
enum class RefusalKind(
    val status: Int,
) {
    BAD_REQUEST(400),
    KEY_MISSING(401),
    KEY_INVALID(401),
    KEY_WITHDRAWN(401),
    NOT_ALLOWED(403),
    UNKNOWN_ROUTE(404),
    UNKNOWN_STEP(404),
    CONFLICT(409),
    TOO_LARGE(413),
    POISON(422),
    OVER_LIMIT(429),
    OUTCOME_UNKNOWN(502),
    TARGET_FAILED(502),
    NO_CAPACITY(503),
    ISOLATED(503),
    SHUTTING_DOWN(503),
    DEADLINE(504),
}

/**
 * Refusal of a request.
 *
 * @property notRun true only if no byte of the request can have reached a target
 * @property retryAfterMs delay before a retry, or null if the same request will never succeed
 */
@Serializable
data class Refusal(
    val kind: RefusalKind,
    val message: String,
    val notRun: Boolean,
    val retryAfterMs: Long? = null,
)
