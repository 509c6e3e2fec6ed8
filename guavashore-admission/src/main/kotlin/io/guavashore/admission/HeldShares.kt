/*
 * Shares held by one entry node. Without a valid share, the node falls back to its equal share, which the allocator
 * has reserved for it by then.
 */
package io.guavashore.admission

import io.guavashore.api.VmId

/** Shares of one entry node. Not thread-safe. */
class HeldShares(
    private val self: VmId,
    private val timing: ShareTiming = ShareTiming(),
) {
    private class HeldShare(
        val amount: Long,
        val untilMs: Long,
    )

    private val held = HashMap<ResourceId, HeldShare>()

    /** Stores [shares], the response to a report sent at [sentAtMs]. */
    fun accept(
        shares: Map<ResourceId, Long>,
        sentAtMs: Long,
    ) {
        shares.forEach { (resource, amount) -> held[resource] = HeldShare(amount, sentAtMs + timing.durationMs) }
    }

    /**
     * Amount of [resource] that this entry node may use at [nowMs].
     *
     * @param total amount of the resource for all [entries]
     */
    fun entitlement(
        resource: ResourceId,
        total: Long,
        entries: List<VmId>,
        nowMs: Long,
    ): Long {
        val share = held[resource]
        if (share != null && nowMs < share.untilMs) return share.amount
        val fallback = equalShare(self, resource, total, entries)
        if (share != null && nowMs < share.untilMs + timing.fallbackDelayMs) return minOf(share.amount, fallback)
        held.remove(resource)
        return fallback
    }
}
