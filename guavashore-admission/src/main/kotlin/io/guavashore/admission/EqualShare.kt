/*
 * Equal division of a resource among the listed entry nodes, which each node can compute without communication.
 */
package io.guavashore.admission

import io.guavashore.api.VmId
import io.guavashore.api.rendezvousRank

/**
 * Equal share of [entry] in [total], or 0 if [entry] is not listed. The remainder of the division goes to nodes chosen
 * by rendezvous hashing, so that the shares of all [entries] sum to [total].
 */
fun equalShare(
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
