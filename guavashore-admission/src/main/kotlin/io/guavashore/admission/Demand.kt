/*
 * Demand that an entry node reports for one resource.
 */
package io.guavashore.admission

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Demand of an entry node for one resource. The short serial names keep reports small.
 *
 * @property desired amount the entry node could use now
 * @property inUse amount the entry node uses now
 * @property held amount the entry node is entitled to now
 */
@Serializable
data class Demand(
    @SerialName("w") val desired: Long,
    @SerialName("u") val inUse: Long,
    @SerialName("h") val held: Long,
)
