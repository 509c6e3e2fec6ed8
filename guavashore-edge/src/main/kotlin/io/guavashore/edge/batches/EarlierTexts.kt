/*
 * Texts of items whose groups were not complete when their batch ended. A trainer may submit such a group again under
 * the same ids; its items go on from here if the versions of the weights fit.
 */
package io.guavashore.edge.batches

internal class EarlierTexts {
    private val texts = LinkedHashMap<ItemId, List<TextEvent>>()
    private var size = 0

    fun of(item: ItemId): List<TextEvent>? = texts[item]

    /** Keeps what an ended batch leaves behind. */
    fun keep(batch: BatchState) {
        val groups = batch.items.groupBy { it.group }
        val whole = groups.filterValues { items -> items.all { it.phase == ItemPhase.LISTED } }
        batch.items
            .filter { it.group !in whole && it.progress.size > 0 }
            .forEach { put(it.spec.id, it.progress.events().toList()) }
        while (size > MOST_EVENTS) size -= texts.remove(texts.keys.first())?.size ?: 0
    }

    /** Forgets items that a later batch has listed. */
    fun drop(batch: BatchState) {
        batch.items.forEach { item -> size -= texts.remove(item.spec.id)?.size ?: 0 }
    }

    private fun put(
        id: ItemId,
        events: List<TextEvent>,
    ) {
        size += events.size - (texts.put(id, events)?.size ?: 0)
    }

    private companion object {
        /** About 4 MB of text at the usual size of an event. */
        const val MOST_EVENTS = 10_000
    }
}
