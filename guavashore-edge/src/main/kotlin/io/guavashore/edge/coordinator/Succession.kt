/*
 * Order in which VMs take over the coordinator's work: larger ones first, then by hash.
 */
package io.guavashore.edge.coordinator

import io.guavashore.api.VmId
import io.guavashore.api.ZoneId
import io.guavashore.api.stableHash
import io.guavashore.edge.peers.VmRecord

/** Succession as one VM sees it. Not thread-safe. */
internal class Succession {
    /** Looked up for every peer at each pulse. */
    private val ranks = HashMap<VmId, Long>()

    private val order = compareBy<VmRecord>({ -it.capacity }, { rankOf(it.vm) })

    fun ordered(cards: List<VmRecord>): List<VmRecord> = cards.sortedWith(order)

    /** The first in line, and the first outside [zone]. */
    fun standbys(
        cards: List<VmRecord>,
        zone: ZoneId,
    ): List<VmId> =
        listOfNotNull(cards.minWithOrNull(order), cards.filter { it.zone != zone }.minWithOrNull(order))
            .map { it.vm }
            .distinct()

    /** VMs that would be coordinator now, or after the loss of a VM or of an availability zone. */
    fun heirs(cards: List<VmRecord>): List<VmId> {
        val first = cards.minWithOrNull(order) ?: return emptyList()
        return (listOf(first.vm) + standbys(cards.filter { it.vm != first.vm }, first.zone)).distinct()
    }

    private fun rankOf(vm: VmId) = ranks.getOrPut(vm) { stableHash("coordinator/$vm") }
}
