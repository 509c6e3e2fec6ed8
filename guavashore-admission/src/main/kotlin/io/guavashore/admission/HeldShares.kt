/*
 * Shares as one entry holds them. Without a live share the entry falls back to its equal part, which the allocator
 * has set aside for it by then.
 */
package io.guavashore.admission

import io.guavashore.api.VmId

/** Shares of one entry. Not thread-safe. */
class HeldShares(
    private val self: VmId,
    private val terms: ShareTerms = ShareTerms(),
) {
    private class Held(
        val amount: Long,
        val untilMs: Long,
    )

    private val held = HashMap<ResourceId, Held>()

    /** Takes in [shares] that answer a report sent at [sentAtMs]. */
    fun accept(
        shares: Map<ResourceId, Long>,
        sentAtMs: Long,
    ) {
        shares.forEach { (resource, amount) -> held[resource] = Held(amount, sentAtMs + terms.termMs) }
    }

    /** What this entry may use of [resource] at [nowMs]. */
    fun entitlement(
        resource: ResourceId,
        total: Long,
        entries: List<VmId>,
        nowMs: Long,
    ): Long {
        val share = held[resource]
        if (share != null && nowMs < share.untilMs) return share.amount
        val equalPart = staticShare(self, resource, total, entries)
        if (share != null && nowMs < share.untilMs + terms.gapMs) return minOf(share.amount, equalPart)
        held.remove(resource)
        return equalPart
    }
}
