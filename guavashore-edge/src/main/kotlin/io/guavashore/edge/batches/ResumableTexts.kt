/*
 * Cache of partial texts from which items can resume generation.
 *
 * It holds the texts of groups that were incomplete when their batch ended, since a trainer may submit their items
 * again under the same ids, and on standbys the texts of items that the coordinator is running. The cache only saves
 * time: a lost text is generated again.
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
 */
@Serializable
data class TextPart(
    val item: ItemId,
    val from: Int,
    val events: List<TextEvent>,
    @SerialName("isWhole")
    val isTextComplete: Boolean,
    val score: Score? = null,
)

/** Partial texts on one VM; evicts the oldest. Not thread-safe. */
class ResumableTexts {
    private class Text(
        val events: MutableList<TextEvent>,
        var isTextComplete: Boolean,
        var score: Score? = null,
    )

    private val texts = LinkedHashMap<ItemId, Text>()
    private var eventCount = 0

    /**
     * Adds the cached texts to the waiting items of [batch], which resume from there. An item with a complete text
     * needs no run, and if the score is cached too, no score call either.
     */
    fun resume(
        batch: BatchState,
        nowMs: Long,
    ) = batch.items.filter { it.phase == ItemPhase.WAITING }.forEach { item ->
        val text = texts[item.spec.id] ?: return@forEach
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
            .forEach { add(TextPart(it.spec.id, from = 0, it.progress.events(), it.isTextComplete, it.score)) }
    }

    /** Adds a part; ignores one that does not continue the cached text. A part from 0 replaces the cached text. */
    fun add(part: TextPart) {
        if (part.from == 0) remove(part.item)
        val text = texts.getOrPut(part.item) { Text(ArrayList(), isTextComplete = false) }
        if (text.events.size != part.from) return
        text.events += part.events
        text.isTextComplete = part.isTextComplete
        text.score = part.score
        eventCount += part.events.size
        while (eventCount > MAX_EVENTS) remove(texts.keys.first())
    }

    /** Removes the texts of the listed items of [batch]. */
    fun removeListed(batch: BatchState) =
        batch.items.filter { it.phase == ItemPhase.LISTED }.forEach { remove(it.spec.id) }

    private fun remove(item: ItemId) {
        eventCount -= texts.remove(item)?.events?.size ?: 0
    }

    private companion object {
        /** About 8 MB of text at the typical size of an event. */
        const val MAX_EVENTS = 20_000
    }
}
