/*
 * Request for a slot on a target, and the slot.
 */
package io.guavashore.calls

import io.guavashore.admission.WorkClass
import io.guavashore.api.OrganisationId
import io.guavashore.api.Target
import io.guavashore.api.TargetId

/**
 * Asks for a slot.
 *
 * @property cost expected tokens, at least 1; for fair turns
 * @property deadlineMs on the monotonic clock
 * @property alone true if nothing else of this entry may run on the target meanwhile
 */
data class SlotRequest(
    val organisation: OrganisationId,
    val workClass: WorkClass,
    val cost: Long,
    val deadlineMs: Long,
    val prefixKey: String? = null,
    val exclude: Set<TargetId> = emptySet(),
    val alone: Boolean = false,
)

/** A slot in use; give it back with [SlotDispatcher.release]. */
class Slot internal constructor(
    val target: Target,
    internal val alone: Boolean,
    internal val cost: Long,
)
