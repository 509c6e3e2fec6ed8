/*
 * Bound on the bytes that a process holds in memory for one purpose.
 */
package io.guavashore.net

/** Budget of [mostBytes] shared by many holders. Not thread-safe. */
class ByteBudget(
    private val mostBytes: Long,
) {
    /** Bytes held now by all holders together. */
    var heldBytes = 0L
        private set

    /**
     * Accounts for [bytes] more of a holder that has [ownBytes] already; false if they must not be held. No holder may
     * have more than is left for all others, so the largest are turned away first and small ones find room.
     */
    fun tryHold(
        bytes: Int,
        ownBytes: Int = 0,
    ): Boolean {
        val leftBytes = mostBytes - heldBytes
        if (bytes > leftBytes) return false
        if (ownBytes + bytes > maxOf(leftBytes, SMALL_BYTES)) return false
        heldBytes += bytes
        return true
    }

    fun release(bytes: Int) {
        heldBytes -= bytes
    }

    companion object {
        /** A holder of this size is let in as long as there is any room. */
        private const val SMALL_BYTES = 65_536L

        /** A part's objects take this much, however short it is; a body in chunks of a few bytes is mostly these. */
        private const val LEAST_PART_BYTES = 256

        /** What a part of a body of [bytes] counts for in memory. */
        fun costOf(bytes: Int): Int = maxOf(bytes, LEAST_PART_BYTES)
    }
}
