/*
 * Claim of one party on a resource that is divided.
 */
package io.guavashore.admission

/** What one claimant asks for. */
data class Claim(
    val demand: Long,
    val weight: Int = 1,
)
