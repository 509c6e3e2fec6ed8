/*
 * Order in which VMs take over as coordinator: by descending capacity, then by hash of the VM id.
 */
package io.guavashore.edge.coordinator

import io.guavashore.api.VmId
import io.guavashore.api.ZoneId
import io.guavashore.api.stableHash
import io.guavashore.edge.peers.VmRecord

/** Succession order as computed on one VM. All VMs compute the same order from the same records. Not thread-safe. */
internal class Succession {
    /** Hash of each VM's id, cached because the ranks of all peers are needed at each heartbeat. */
    private val ranks = HashMap<VmId, Long>()

    private val order = compareBy<VmRecord>({ -it.capacity }, { rankOf(it.vm) })

    fun ordered(vms: List<VmRecord>): List<VmRecord> = vms.sortedWith(order)

    /** The first VM in the order, and the first outside [zone]. */
    fun standbys(
        vms: List<VmRecord>,
        zone: ZoneId,
    ): List<VmId> =
        listOfNotNull(vms.minWithOrNull(order), vms.filter { it.zone != zone }.minWithOrNull(order))
            .map { it.vm }
            .distinct()

    /** VMs that would be coordinator now, or after the loss of any one VM or availability zone. */
    fun potentialCoordinators(vms: List<VmRecord>): List<VmId> {
        val first = vms.minWithOrNull(order) ?: return emptyList()
        return (listOf(first.vm) + standbys(vms.filter { it.vm != first.vm }, first.zone)).distinct()
    }

    private fun rankOf(vm: VmId) = ranks.getOrPut(vm) { stableHash("coordinator/$vm") }
}
