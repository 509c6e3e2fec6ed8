/*
 * Replicates unfinished texts to the standby VMs.
 *
 * The coordinator may crash or be partitioned while the longest items of a step have been running for seconds. If these
 * items restarted from the beginning, they would miss the due time of the step; from a replica they resume with the
 * next event.
 */
package io.guavashore.edge.batches

import io.guavashore.api.VmId

/** Tracks which parts of the texts each standby has been sent. Not thread-safe. */
class TextReplicator {
    private class Sent(
        var restarts: Int = 0,
        var events: Int = 0,
        var isTextComplete: Boolean = false,
        var score: Score? = null,
    )

    private val sentByVm = HashMap<VmId, HashMap<ItemState, Sent>>()

    /** Parts of the texts of [items] that [standby] has not been sent; records them as sent. */
    fun partsFor(
        standby: VmId,
        items: List<ItemState>,
    ): List<TextPart> {
        val sentTexts = sentByVm.getOrPut(standby) { HashMap() }
        sentTexts.keys.retainAll(items.toSet())
        return items.mapNotNull { item -> part(item, sentTexts.getOrPut(item) { Sent() }) }
    }

    /** Discards the state of VMs not in [standbys]; a VM that returns is sent all texts from their start. */
    fun retain(standbys: Set<VmId>) {
        sentByVm.keys.retainAll(standbys)
    }

    private fun part(
        item: ItemState,
        sent: Sent,
    ): TextPart? {
        val events = item.progress.events()
        val from = if (sent.restarts == item.progress.restarts) sent.events else 0
        val isUpToDate = from == events.size && sent.isTextComplete == item.isTextComplete && sent.score == item.score
        if (isUpToDate) return null
        sent.restarts = item.progress.restarts
        sent.events = events.size
        sent.isTextComplete = item.isTextComplete
        sent.score = item.score
        return TextPart.of(item, from)
    }
}
