/*
 * Demand of one claimant, the input of [waterFill].
 */
package io.guavashore.admission

/** Amount that one claimant asks for, and the claimant's weight, at least 1. */
data class WeightedDemand(
    val demand: Long,
    val weight: Int = 1,
)
