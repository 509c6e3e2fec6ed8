/*
 * Limit on the memory that a process uses for one purpose.
 */
package io.guavashore.net

/** Budget of [maxBytes] shared by many owners, such as connections. Not thread-safe. */
class ByteBudget(
    private val maxBytes: Long,
) {
    /** Bytes reserved by all owners together. */
    var reservedBytes = 0L
        private set

    /**
     * Reserves [bytes] for an owner that has reserved [ownerBytes] before; returns false if the budget does not allow
     * it. No owner may reserve more than remains for all others, so the largest owners are rejected first.
     */
    fun tryReserve(
        bytes: Int,
        ownerBytes: Int = 0,
    ): Boolean {
        val freeBytes = maxBytes - reservedBytes
        if (bytes > freeBytes) return false
        if (ownerBytes + bytes > maxOf(freeBytes, SMALL_RESERVATION_BYTES)) return false
        reservedBytes += bytes
        return true
    }

    fun release(bytes: Int) {
        reservedBytes -= bytes
    }

    companion object {
        /** Owners up to this size are rejected only if the budget is exhausted. */
        private const val SMALL_RESERVATION_BYTES = 65_536L

        /** Memory that the objects of a short part take; it dominates for bodies in chunks of a few bytes. */
        private const val MIN_PART_BYTES = 256

        /** Bytes of memory to reserve for a body part of [bytes]. */
        fun costOf(bytes: Int): Int = maxOf(bytes, MIN_PART_BYTES)
    }
}
