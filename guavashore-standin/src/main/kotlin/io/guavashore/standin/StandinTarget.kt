/*
 * Target that the stand-in platform can start and stop.
 */
package io.guavashore.standin

import kotlinx.serialization.json.Json

/** JSON format of the stand-ins; like real services, they ignore unknown keys. */
internal val standinJson = Json { ignoreUnknownKeys = true }

/** Engine or plain service that listens on its own port. */
interface StandinTarget {
    val port: Int
    val isUp: Boolean

    suspend fun start()

    /** Breaks all connections immediately; also used to stop a target. */
    fun crash()
}
