/*
 * Copies of unfinished texts on the VMs that would take over.
 *
 * Load pattern: the coordinator is killed, or cut off, while a step's longest items have been running for seconds.
 * Started anew they would miss the step's due time; from a copy they go on with the next event.
 */
package io.guavashore.edge.batches

import io.guavashore.api.VmId

/** Decides what to send. Not thread-safe. */
class TextReplicator {
    private class Sent(
        var events: Int = 0,
        var isWhole: Boolean = false,
        var score: Score? = null,
    )

    private val sent = HashMap<VmId, HashMap<ItemState, Sent>>()

    /** What [standby] lacks of the texts of [items]. */
    fun partsFor(
        standby: VmId,
        items: List<ItemState>,
    ): List<TextPart> {
        val known = sent.getOrPut(standby) { HashMap() }
        known.keys.retainAll(items.toSet())
        return items.mapNotNull { item -> part(item, known.getOrPut(item) { Sent() }) }
    }

    /** Forgets VMs that are no longer standbys; they would be sent all anew. */
    fun retain(standbys: Set<VmId>) {
        sent.keys.retainAll(standbys)
    }

    private fun part(
        item: ItemState,
        known: Sent,
    ): TextPart? {
        val events = item.progress.events()
        val from = if (known.events > events.size) 0 else known.events
        val isKnown = from == events.size && known.isWhole == item.isWhole && known.score == item.score
        if (isKnown) return null
        known.events = events.size
        known.isWhole = item.isWhole
        known.score = item.score
        return TextPart(item.spec.id, from, events.drop(from), item.isWhole, item.score)
    }
}
