/*
 * Work in progress by the key that started it. When a key goes out of force, all its work is ended.
 */
package io.guavashore.keys

import io.guavashore.api.KeyId
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/** Ends one piece of work whose key went out of force. Must not block. */
typealias EndSession = () -> Unit

/** Open work of all keys. Thread-safe. */
class KeySessions {
    private val nextId = AtomicLong()
    private val sessions = ConcurrentHashMap<Long, Pair<KeyId, EndSession>>()

    /** Adds work of [key]; [Session.close] takes it out once it is done. */
    fun open(
        key: KeyId,
        end: EndSession,
    ): Session {
        val id = nextId.incrementAndGet()
        sessions[id] = key to end
        return Session { sessions.remove(id) }
    }

    /** Ends the work of each key for which [inForce] is false; returns how many pieces were ended. */
    fun endWithdrawn(inForce: (KeyId) -> Boolean): Int {
        val ended = sessions.entries.filter { (_, session) -> !inForce(session.first) }
        ended.forEach { (id, session) -> if (sessions.remove(id) != null) session.second() }
        return ended.size
    }

    val size: Int get() = sessions.size

    /** Handle of one piece of work. */
    fun interface Session : AutoCloseable
}
