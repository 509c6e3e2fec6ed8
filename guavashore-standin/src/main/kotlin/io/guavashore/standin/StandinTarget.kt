/*
 * A target that the stand-in of the order interface can start and stop.
 */
package io.guavashore.standin

import kotlinx.serialization.json.Json

/** JSON as stand-ins read and write it: like real services they pass over what they do not know. */
internal val standinJson = Json { ignoreUnknownKeys = true }

/** Engine or plain service on a port of its own. */
interface StandinTarget {
    val port: Int
    val isUp: Boolean

    suspend fun start()

    /** Breaks all connections at once; also how a stopped target ends. */
    fun crash()
}
