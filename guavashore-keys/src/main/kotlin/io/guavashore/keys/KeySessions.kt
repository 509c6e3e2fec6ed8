/*
 * Calls in progress, by the key that they were accepted with. They are ended when the key is withdrawn.
 */
package io.guavashore.keys

import io.guavashore.api.KeyId
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/** Ends a session whose key was withdrawn. Must not block. */
typealias EndSession = () -> Unit

/** Open sessions of all keys. Thread-safe. */
class KeySessions {
    private val nextId = AtomicLong()
    private val sessions = ConcurrentHashMap<Long, Pair<KeyId, EndSession>>()

    /** Registers a session of [key]; the caller closes the returned handle when the session is done. */
    fun open(
        key: KeyId,
        end: EndSession,
    ): Session {
        val id = nextId.incrementAndGet()
        sessions[id] = key to end
        return Session { sessions.remove(id) }
    }

    /** Ends the sessions of all keys for which [inForce] is false; returns their number. */
    fun endWithdrawn(inForce: (KeyId) -> Boolean): Int {
        val ended = sessions.entries.filter { (_, session) -> !inForce(session.first) }
        ended.forEach { (id, session) -> if (sessions.remove(id) != null) session.second() }
        return ended.size
    }

    val size: Int get() = sessions.size

    /** Handle of an open session; closing it removes the session. */
    fun interface Session : AutoCloseable
}
