/*
 * Why an exchange between two processes failed.
 */
package io.guavashore.wire

/** Errors of frames and exchanges. */
sealed interface WireError {
    val message: String

    /** The frame's length is outside the bounds; the connection is of no more use. */
    data class BadLength(
        val length: Int,
    ) : WireError {
        override val message = "frame of $length bytes; check that both ends are guavashore processes of one version"
    }

    /** The frame is not a known message. */
    data class BadFrame(
        val reason: String,
    ) : WireError {
        override val message = "frame could not be read ($reason); check that both ends have the same version"
    }

    /** No connection, or no answer within the time. */
    data class Unreachable(
        val reason: String,
    ) : WireError {
        override val message = "no answer ($reason); check that the process runs and its address in the settings"
    }
}
