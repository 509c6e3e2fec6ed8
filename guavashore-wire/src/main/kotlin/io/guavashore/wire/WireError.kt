/*
 * Errors of an exchange between two processes.
 */
package io.guavashore.wire

/** Why a frame could not be read or an exchange failed. */
sealed interface WireError {
    val message: String

    /** The frame's length is outside its bounds; the connection must be closed. */
    data class BadLength(
        val length: Int,
    ) : WireError {
        override val message =
            "frame length $length is outside 1..$MAX_FRAME_BYTES; " +
                "check that both ends are guavashore processes of the same version"
    }

    /** The frame can't be decoded, or holds an unexpected kind of message. */
    data class BadFrame(
        val reason: String,
    ) : WireError {
        override val message = "frame could not be read ($reason); check that both ends have the same version"
    }

    /** The connection failed, or no reply arrived within the timeout. */
    data class Unreachable(
        val reason: String,
    ) : WireError {
        override val message = "no reply ($reason); check that the process runs and that the settings have its address"
    }
}
