/*
 * Requests for slots on targets, and granted slots.
 */
package io.guavashore.calls

import io.guavashore.admission.WorkClass
import io.guavashore.api.OrganisationId
import io.guavashore.api.Target
import io.guavashore.api.TargetId

/**
 * Request for a slot on a target of the pool.
 *
 * @property cost expected number of tokens, at least 1; used for fair queueing
 * @property deadlineMs on the monotonic clock
 * @property prefixKey identifies a shared prompt prefix, whose requests prefer the same target; null if there is none
 * @property exclude targets that must not be used
 * @property exclusive true if no other request of this entry node may run on the target at the same time
 */
data class SlotRequest(
    val organisation: OrganisationId,
    val workClass: WorkClass,
    val cost: Long,
    val deadlineMs: Long,
    val prefixKey: String? = null,
    val exclude: Set<TargetId> = emptySet(),
    val exclusive: Boolean = false,
)

/** A granted slot, to be returned with [SlotDispatcher.release]. */
class Slot internal constructor(
    val target: Target,
    internal val exclusive: Boolean,
    internal val cost: Long,
)
