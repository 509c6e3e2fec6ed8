/*
 * What an entry reports of one resource.
 */
package io.guavashore.admission

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * What an entry wants of one resource, what it uses right now and what it is entitled to right now. The short
 * serial names keep reports small.
 */
@Serializable
data class Demand(
    @SerialName("w") val wanted: Long,
    @SerialName("u") val inUse: Long,
    @SerialName("h") val held: Long,
)
