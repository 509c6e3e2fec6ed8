/*
 * Equal division of a resource among the listed entries, which every entry can work out for itself.
 */
package io.guavashore.admission

import io.guavashore.api.VmId
import io.guavashore.api.rendezvousRank

/** Equal part of [entry] in [total]; remainders go by rendezvous hashing. The parts of all [entries] sum to [total]. */
fun staticShare(
    entry: VmId,
    resource: ResourceId,
    total: Long,
    entries: List<VmId>,
): Long {
    if (entries.isEmpty()) return 0
    val rank = rendezvousRank(resource.toString(), entries).indexOf(entry)
    if (rank < 0) return 0
    return total / entries.size + if (rank < total % entries.size) 1 else 0
}
