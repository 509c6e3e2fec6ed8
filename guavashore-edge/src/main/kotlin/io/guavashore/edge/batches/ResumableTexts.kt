/*
 * Cache of partial texts from which items can resume generation.
 *
 * It holds the texts of groups that were incomplete when their batch ended, since a trainer may submit their items
 * again under the same ids, and on standbys the texts of items that the coordinator is running. Only an item with the
 * same request resumes a text: ids alone may also be those of other items. The cache only saves time: a lost text is
 * generated again.
 */
package io.guavashore.edge.batches

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Part of an item's text, as sent to another VM.
 *
 * @property from number of events before [events]
 * @property isTextComplete true if the text is complete with the last of [events]
 * @property score score of the complete text; null until known
 * @property request request that generated the text; null in the parts of VMs of earlier versions, which can't be used
 */
@Serializable
data class TextPart(
    val item: ItemId,
    val from: Int,
    val events: List<TextEvent>,
    @SerialName("isWhole")
    val isTextComplete: Boolean,
    val score: Score? = null,
    val request: RequestDigest? = null,
) {
    companion object {
        /** Part of the text of [item] that begins after [from] events. */
        fun of(
            item: ItemState,
            from: Int,
        ): TextPart {
            val events = item.progress.events().drop(from)
            return TextPart(item.spec.id, from, events, item.isTextComplete, item.score, item.request)
        }
    }
}

/** Partial texts on one VM; evicts the oldest. Not thread-safe. */
class ResumableTexts {
    private class Text(
        val events: MutableList<TextEvent>,
        var isTextComplete: Boolean,
        var score: Score? = null,
    )

    private val texts = LinkedHashMap<RequestDigest, Text>()
    private var eventCount = 0

    /**
     * Adds the cached texts to the waiting items of [batch], which resume from there. An item with a complete text
     * needs no run, and if the score is cached too, no score call either.
     */
    fun resume(
        batch: BatchState,
        nowMs: Long,
    ) = batch.items.filter { it.phase == ItemPhase.WAITING }.forEach { item ->
        val text = texts[item.request] ?: return@forEach
        val adopted = item.progress.adopt(text.events)
        item.waitingSinceMs = nowMs
        if (!adopted || !text.isTextComplete) return@forEach
        item.score = text.score?.takeIf { it.call == item.spec.scorer?.id }
        batch.complete(item, nowMs)
    }

    /** Caches the texts of the incomplete groups of an ended batch. */
    fun keep(batch: BatchState) {
        val groups = batch.items.groupBy { it.group }
        val complete = groups.filterValues { items -> items.all { it.phase == ItemPhase.LISTED } }
        batch.items
            .filter { it.group !in complete && it.progress.size > 0 }
            .forEach { add(TextPart.of(it, from = 0)) }
    }

    /**
     * Adds a part; ignores one that does not continue the cached text, or does not state its request. A part from 0
     * replaces the cached text.
     */
    fun add(part: TextPart) {
        val request = part.request ?: return
        if (part.from == 0) remove(request)
        val text = texts.getOrPut(request) { Text(ArrayList(), isTextComplete = false) }
        if (text.events.size != part.from) return
        text.events += part.events
        text.isTextComplete = part.isTextComplete
        text.score = part.score
        eventCount += part.events.size
        while (eventCount > MAX_EVENTS) remove(texts.keys.first())
    }

    /** Removes the texts of the listed items of [batch]. */
    fun removeListed(batch: BatchState) =
        batch.items.filter { it.phase == ItemPhase.LISTED }.forEach { remove(it.request) }

    private fun remove(request: RequestDigest) {
        eventCount -= texts.remove(request)?.events?.size ?: 0
    }

    private companion object {
        /** About 8 MB of text at the typical size of an event. */
        const val MAX_EVENTS = 20_000
    }
}
