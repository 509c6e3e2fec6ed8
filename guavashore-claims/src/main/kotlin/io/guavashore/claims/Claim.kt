/*
 * Claim of an idempotency key: records which attempt may run the request, and the response to it.
 */
package io.guavashore.claims

import io.guavashore.api.AttemptId
import io.guavashore.api.OrganisationId
import io.guavashore.api.ServiceId
import io.guavashore.api.TeamId
import io.guavashore.api.stableHash
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Idempotency key chosen by a caller; unique within its team, organisation and service. */
@Serializable
data class ClaimKey(
    val team: TeamId,
    val organisation: OrganisationId,
    val service: ServiceId,
    val key: String,
) {
    /** Index, from 0 to [buckets] - 1, of the store object that holds the claim. */
    internal fun bucket(buckets: Int): Int = Math.floorMod(stableHash("$service/$key"), buckets.toLong()).toInt()
}

/** Response of the attempt that ran, returned to callers that repeat the request. */
@Serializable
data class RecordedResponse(
    val status: Int,
    val contentType: String?,
    val body: ByteArray,
)

/**
 * Claim as stored. [response] is null while the request runs, after an attempt that failed before it responded, or if
 * the response exceeded the size limit.
 *
 * @property released true if the request is known not to have run, so that its key may be claimed again
 * @property atMs Unix time of the claim
 */
@Serializable
data class Claim(
    val attempt: AttemptId,
    val atMs: Long,
    val released: Boolean = false,
    @SerialName("answer") val response: RecordedResponse? = null,
)

/** Outcome of [ClaimStore.claim]. */
@Serializable
sealed interface ClaimOutcome {
    /** The attempt holds the claim: it may run the request, and no other attempt may. */
    @Serializable
    data object Granted : ClaimOutcome

    /** Another attempt has claimed the key; [response] is null if its response is not recorded. */
    @Serializable
    data class Taken(
        @SerialName("answer") val response: RecordedResponse?,
    ) : ClaimOutcome

    /** The store could not be read or written, so the request must not run. */
    @Serializable
    data class Unavailable(
        val reason: String,
    ) : ClaimOutcome
}
