/*
 * Texts of items as other runs have left them: of groups that were not complete when their batch ended, which a trainer
 * may submit again under the same ids, and of items that another coordinator has running. Losing them costs time only.
 */
package io.guavashore.edge.batches

import kotlinx.serialization.Serializable

/**
 * Part of an item's text on its way to another VM.
 *
 * @property from number of events that came before [events]
 * @property isWhole true if the item's run has ended as complete with the last of [events]
 * @property score score of the whole text, once it is known
 */
@Serializable
data class TextPart(
    val item: ItemId,
    val from: Int,
    val events: List<TextEvent>,
    val isWhole: Boolean,
    val score: Score? = null,
)

/** Texts kept on one VM. Not thread-safe. */
class ResumableTexts {
    private class Text(
        val events: MutableList<TextEvent>,
        var isWhole: Boolean,
        var score: Score? = null,
    )

    private val texts = LinkedHashMap<ItemId, Text>()
    private var size = 0

    /** Lets the items of [batch] go on from what is kept of them; those that were whole need no run, or no score. */
    fun resume(
        batch: BatchState,
        nowMs: Long,
    ) = batch.items.filter { it.phase == ItemPhase.WAITING }.forEach { item ->
        val text = texts[item.spec.id] ?: return@forEach
        val adopted = item.progress.adopt(text.events)
        if (!adopted || !text.isWhole) return@forEach
        item.score = text.score?.takeIf { it.call == item.spec.scorer?.id }
        batch.complete(item, nowMs)
    }

    /** Keeps what an ended batch leaves behind. */
    fun keep(batch: BatchState) {
        val groups = batch.items.groupBy { it.group }
        val whole = groups.filterValues { items -> items.all { it.phase == ItemPhase.LISTED } }
        batch.items
            .filter { it.group !in whole && it.progress.size > 0 }
            .forEach { add(TextPart(it.spec.id, from = 0, it.progress.events(), it.isWhole, it.score)) }
    }

    /** Adds a part; one that does not follow what is kept is of no use and ignored. */
    fun add(part: TextPart) {
        if (part.from == 0) forget(part.item)
        val text = texts.getOrPut(part.item) { Text(ArrayList(), isWhole = false) }
        if (text.events.size != part.from) return
        text.events += part.events
        text.isWhole = part.isWhole
        text.score = part.score
        size += part.events.size
        while (size > MOST_EVENTS) forget(texts.keys.first())
    }

    /** Forgets items that [batch] has listed. */
    fun drop(batch: BatchState) = batch.items.filter { it.phase == ItemPhase.LISTED }.forEach { forget(it.spec.id) }

    private fun forget(item: ItemId) {
        size -= texts.remove(item)?.events?.size ?: 0
    }

    private companion object {
        /** About 8 MB of text at the usual size of an event. */
        const val MOST_EVENTS = 20_000
    }
}
