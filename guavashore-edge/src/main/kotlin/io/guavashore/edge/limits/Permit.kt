/*
 * Permission to send one request to a target.
 */
package io.guavashore.edge.limits

import io.guavashore.api.TargetId
import kotlinx.serialization.Serializable

/**
 * Permission to send one request to [target].
 *
 * @property notBeforeMs monotonic time from which the request may be sent
 * @property isValid false once the permit has expired; checked just before sending, since opening a connection takes
 * time and the VM may have been suspended meanwhile
 */
class Permit(
    val target: TargetId,
    val notBeforeMs: Long = 0,
    val isValid: () -> Boolean = { true },
)

/** Request for one permit to any of [candidates], preferred ones first, that may be used within [maxWaitMs]. */
@Serializable
data class PermitRequest(
    val candidates: List<TargetRateLimit>,
    val maxWaitMs: Long,
)

/** Decision on a [PermitRequest]. */
@Serializable
sealed interface PermitDecision {
    /** One request may be sent to [target] in [waitMs], counted from the receipt of the decision. */
    @Serializable
    data class Granted(
        val target: TargetId,
        val waitMs: Long,
    ) : PermitDecision

    /** No candidate has room within the requested time; a repeated request finds room in [retryAfterMs]. */
    @Serializable
    data class Refused(
        val retryAfterMs: Long,
    ) : PermitDecision
}
