/*
 * Directory entry by which a target registers itself.
 */
package io.guavashore.edge.declared

import io.guavashore.api.Endpoint
import io.guavashore.api.ServiceId
import io.guavashore.api.TargetId
import io.guavashore.api.ZoneId
import kotlinx.serialization.Serializable

/** Version of the software that a target runs; independent of the versions of its weights. */
@JvmInline
@Serializable
value class SoftwareVersion(
    val value: String,
) {
    override fun toString() = value
}

/**
 * Entry of one target in the directory.
 *
 * @property bornAtMs wall time at which the target started; a later time under the same id is a new process without the
 * state of the previous one
 * @property ordersTaken number of orders that the target has accepted since its start
 * @property software version of the target's software
 * @property versions version of the weights by model, for each model that the target holds
 * @property isSpot true if the target may be reclaimed together with all other spot targets of its zone
 * @property isLeaving true if the target takes no new requests
 * @property coldForMs time for which the target stays cold, counted from the receipt of the entry; null if the entry
 * does not state it
 */
data class TargetEntry(
    val id: TargetId,
    val service: ServiceId,
    val endpoint: Endpoint,
    val zone: ZoneId,
    val slots: Int,
    val isLeaving: Boolean,
    val software: SoftwareVersion,
    val bornAtMs: Long? = null,
    val ordersTaken: Long = 0,
    val versions: Map<ModelId, Long> = emptyMap(),
    val isSpot: Boolean = false,
    val coldForMs: Long? = null,
)
