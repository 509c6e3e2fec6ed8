/*
 * Text of one item as generated so far.
 */
package io.guavashore.edge.batches

import kotlinx.serialization.Serializable

/** Event of a run's stream; [version] is the version of the weights that generated it. */
@Serializable
data class TextEvent(
    val eventId: Long,
    val data: String,
    val version: Long,
)

/** Result of appending an event to the text of an item. */
enum class AppendResult {
    ADDED,

    /** The event does not follow the last one, so the run can't be used. */
    OUT_OF_ORDER,

    /** The weights are older than the minimum version of the batch. */
    TOO_OLD,

    /** The batch requires a single version, and the text was started with another one. */
    OTHER_VERSION,
}

/** Ordered events of one item. Not thread-safe. */
class ItemProgress(
    private val minVersion: Long,
    private val singleVersion: Boolean,
) {
    private val events = ArrayList<TextEvent>()

    /** Number of times the text was discarded; events under different numbers belong to different texts. */
    var restarts = 0
        private set

    val size: Int get() = events.size

    /** Id of the last event, after which a new run resumes; null if the item starts from the beginning. */
    val lastEventId: Long? get() = events.lastOrNull()?.eventId

    /** Appends [event] if it continues the text. */
    fun add(event: TextEvent): AppendResult {
        val last = events.lastOrNull()
        if (last != null && event.eventId != last.eventId + 1) return AppendResult.OUT_OF_ORDER
        if (event.version < minVersion) return AppendResult.TOO_OLD
        if (singleVersion && last != null && last.version != event.version) return AppendResult.OTHER_VERSION
        events += event
        return AppendResult.ADDED
    }

    /** Discards the text: the item starts from the beginning. */
    fun clear() {
        events.clear()
        restarts++
    }

    /**
     * Starts an empty text with the events that were generated for the same item before, up to the first one whose
     * version is not allowed. Returns true if all of [earlier] was taken.
     */
    fun adopt(earlier: List<TextEvent>): Boolean {
        if (events.isNotEmpty()) return false
        val allowed = earlier.takeWhile { it.version >= minVersion }
        if (singleVersion && allowed.distinctBy { it.version }.size > 1) return false
        events += allowed
        return allowed.size == earlier.size
    }

    fun events(): List<TextEvent> = events

    fun text(): String = events.joinToString("\n") { it.data }

    fun versions(): List<Long> = events.map { it.version }.distinct().sorted()
}
