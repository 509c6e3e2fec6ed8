/*
 * Target as it registered itself.
 */
package io.guavashore.edge.declared

import io.guavashore.api.Endpoint
import io.guavashore.api.ServiceId
import io.guavashore.api.TargetId
import io.guavashore.api.ZoneId

/**
 * Entry of one target in the directory.
 *
 * @property bornAtMs wall time of its start; a later one under the same id is a target that knows nothing of before
 * @property ordersTaken number of orders it has accepted since its start
 * @property versions version of the weights of each model that it holds
 * @property isSpot true if it may be reclaimed together with all others of its zone
 * @property isLeaving true if it takes no new requests
 */
data class TargetEntry(
    val id: TargetId,
    val service: ServiceId,
    val endpoint: Endpoint,
    val zone: ZoneId,
    val slots: Int,
    val isLeaving: Boolean,
    val bornAtMs: Long? = null,
    val ordersTaken: Long = 0,
    val versions: Map<ModelId, Long> = emptyMap(),
    val isSpot: Boolean = false,
)
