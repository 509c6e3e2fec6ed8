/*
 * Score calls: an item may name a service that scores its text once the text is complete.
 */
package io.guavashore.edge.batches

import kotlinx.serialization.Serializable

/** Id of a score call, chosen by the caller. */
@JvmInline
@Serializable
value class ScoreCallId(
    val value: String,
) {
    override fun toString() = value
}

/**
 * Score call as submitted. It is routed by [host] and [path], and may be sent more than once.
 *
 * @property bodyBase64 request body
 */
@Serializable
data class ScorerSpec(
    val id: ScoreCallId,
    val host: String,
    val path: String,
    val bodyBase64: String,
)

/**
 * Score of a complete text.
 *
 * @property call score call that returned the score; the score is valid for an item with this call only
 * @property receipt signature by which the target vouches for its response
 */
@Serializable
data class Score(
    val call: ScoreCallId,
    val receipt: String,
)
