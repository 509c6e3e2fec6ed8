/*
 * Text of one item as far as it has been generated.
 */
package io.guavashore.edge.batches

import kotlinx.serialization.Serializable

/** Event of a run's stream, with the version of the weights that made it. */
@Serializable
data class TextEvent(
    val eventId: Long,
    val data: String,
    val version: Long,
)

/** What an event meant for the text it was to go on. */
enum class EventFit {
    ADDED,

    /** The event does not follow the last one: the run can't be used. */
    OUT_OF_ORDER,

    /** Weights older than the batch allows made it. */
    TOO_OLD,

    /** The batch wants one version, and the text has another. */
    OTHER_VERSION,
}

/** Events of one item in order. Not thread-safe. */
class ItemProgress(
    private val minVersion: Long,
    private val singleVersion: Boolean,
) {
    private val events = ArrayList<TextEvent>()

    val size: Int get() = events.size

    /** Id of the last event, from which a new run goes on; null if the item starts from its beginning. */
    val lastEventId: Long? get() = events.lastOrNull()?.eventId

    fun add(event: TextEvent): EventFit {
        val last = events.lastOrNull()
        if (last != null && event.eventId != last.eventId + 1) return EventFit.OUT_OF_ORDER
        if (event.version < minVersion) return EventFit.TOO_OLD
        if (singleVersion && last != null && last.version != event.version) return EventFit.OTHER_VERSION
        events += event
        return EventFit.ADDED
    }

    /** Forgets all: the item starts anew. */
    fun clear() = events.clear()

    /**
     * Takes over what was generated for the same item before, as far as its versions fit; true if that is all of
     * [earlier].
     */
    fun adopt(earlier: List<TextEvent>): Boolean {
        if (events.isNotEmpty()) return false
        val fits = earlier.takeWhile { it.version >= minVersion }
        if (singleVersion && fits.distinctBy { it.version }.size > 1) return false
        events += fits
        return fits.size == earlier.size
    }

    fun events(): List<TextEvent> = events

    fun text(): String = events.joinToString("\n") { it.data }

    fun versions(): List<Long> = events.map { it.version }.distinct().sorted()
}
