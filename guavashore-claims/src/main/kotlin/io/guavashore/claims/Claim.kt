/*
 * Claim of an idempotency key: which attempt may run the request, and how it ended.
 */
package io.guavashore.claims

import io.guavashore.api.AttemptId
import io.guavashore.api.OrganisationId
import io.guavashore.api.ServiceId
import io.guavashore.api.TeamId
import io.guavashore.api.stableHash
import kotlinx.serialization.Serializable

/** Idempotency key of a caller, within its organisation and service. */
@Serializable
data class ClaimKey(
    val team: TeamId,
    val organisation: OrganisationId,
    val service: ServiceId,
    val key: String,
) {
    /** Number of the store object, out of [buckets], that holds the claim. */
    internal fun bucket(buckets: Int): Int = Math.floorMod(stableHash("$service/$key"), buckets.toLong()).toInt()
}

/** Answer as it was given, for callers that ask again. */
@Serializable
data class RecordedAnswer(
    val status: Int,
    val contentType: String?,
    val body: ByteArray,
)

/**
 * Claim as the store holds it. [answer] is null while the request runs, or if it was too long to keep.
 *
 * @property released true if the request is known not to have run, so that it may be claimed again
 * @property atMs Unix time of the claim
 */
@Serializable
data class Claim(
    val attempt: AttemptId,
    val atMs: Long,
    val released: Boolean = false,
    val answer: RecordedAnswer? = null,
)

/** Outcome of claiming. */
@Serializable
sealed interface ClaimOutcome {
    /** The request may run now, and nowhere else. */
    @Serializable
    data object Granted : ClaimOutcome

    /** A request with the key was claimed before; [answer] is its answer if it is known. */
    @Serializable
    data class Taken(
        val answer: RecordedAnswer?,
    ) : ClaimOutcome

    /** The store can't be asked, so the request must not run. */
    @Serializable
    data class Unavailable(
        val reason: String,
    ) : ClaimOutcome
}
