/*
 * Ids of the requests that were sent on one connection.
 *
 * A server may send a copy of a response any number of requests later, so no id is ever forgotten; a connection is
 * given up once it has sent as many as are kept. Two ids with the same hash cost at most one connection.
 */
package io.guavashore.net

/** Ids sent on one connection. Not thread-safe. */
class SentRequestIds internal constructor() {
    private var hashes = IntArray(INITIAL_SIZE)
    private var count = 0

    /** True if no further id can be added. */
    internal val isFull: Boolean get() = count == MAX_IDS

    /** True if a request with the id [requestId] was sent; false for a request without an id. */
    operator fun contains(requestId: String?): Boolean {
        val hash = requestId?.hashCode() ?: return false
        for (index in 0 until count) if (hashes[index] == hash) return true
        return false
    }

    internal fun add(requestId: String) {
        check(!isFull) { "more than $MAX_IDS requests on one connection" }
        if (count == hashes.size) hashes = hashes.copyOf(count * 2)
        hashes[count++] = requestId.hashCode()
    }

    private companion object {
        const val INITIAL_SIZE = 8

        /** Bounds the memory of a connection to 2 KiB; opening one more after so many requests costs little. */
        const val MAX_IDS = 512
    }
}
