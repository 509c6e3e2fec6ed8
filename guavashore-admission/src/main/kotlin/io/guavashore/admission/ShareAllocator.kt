/*
 * Shares of a limited resource (a target's slots, an organisation's rate) for the entries that use it.
 *
 * Each share lapses by a deadline. An entry counts the deadline from before it sent its report, the allocator from
 * after it answered, so a share has always lapsed at its holder before the allocator hands it to another. For an
 * entry that does not report, the allocator sets aside the equal part that the entry falls back to, so that entries
 * serve on when the allocator can't be reached.
 */
package io.guavashore.admission

import io.guavashore.api.VmId

/** Total of each resource and the entries that may claim it. */
data class ShareLimits(
    val totals: Map<ResourceId, Long>,
    val entries: List<VmId>,
)

/**
 * Allocator of one holder of a lease. Not thread-safe.
 *
 * A new allocator does not know what its predecessor handed out, so until one term and margin has passed it only
 * renews what an entry says it holds.
 */
class ShareAllocator(
    private val startedAtMs: Long,
    private val terms: ShareTerms = ShareTerms(),
) {
    /**
     * The entry holds [granted] if the last answer reached it, else still [heldBefore]; its next report tells which.
     */
    private class Claimant(
        var demand: Demand,
        var reportedAtMs: Long,
        var granted: Long = 0,
        var grantedUntilMs: Long = 0,
        var heldBefore: Long = 0,
    )

    private val claimants = HashMap<ResourceId, HashMap<VmId, Claimant>>()

    /**
     * Takes the report of [entry] and returns its new shares, each of which lasts for [ShareTerms.termMs] from before
     * the report was sent. Resources outside [limits] get none.
     */
    fun report(
        entry: VmId,
        demands: Map<ResourceId, Demand>,
        limits: ShareLimits,
        nowMs: Long,
    ): Map<ResourceId, Long> {
        claimants.keys.retainAll(limits.totals.keys)
        return demands
            .filterKeys { it in limits.totals }
            .mapValues { (resource, demand) -> share(entry, resource, demand, limits, nowMs) }
    }

    /** Sum of what all entries wanted of [resource] and of what they used, by their latest reports. */
    fun load(
        resource: ResourceId,
        nowMs: Long,
    ): Demand {
        val live = claimants[resource].orEmpty().values.filter { !it.isSilentAt(nowMs) }
        return Demand(
            wanted = live.sumOf { it.demand.wanted },
            inUse = live.sumOf { it.demand.inUse },
            held = live.sumOf { it.granted },
        )
    }

    private fun share(
        entry: VmId,
        resource: ResourceId,
        demand: Demand,
        limits: ShareLimits,
        nowMs: Long,
    ): Long {
        val all = claimants.getOrPut(resource) { HashMap() }
        val own = all.getOrPut(entry) { Claimant(demand, nowMs) }
        own.demand = demand
        own.reportedAtMs = nowMs
        val total = limits.totals.getValue(resource)
        val others = limits.entries.toSet() + all.keys - entry
        val free = maxOf(0, total - others.sumOf { usable(all[it], it, resource, limits, nowMs) })
        val isNew = nowMs < startedAtMs + terms.termMs + terms.marginMs
        val amount = minOf(free, if (isNew) demand.held else fairShare(all, entry, resource, limits, nowMs))
        own.heldBefore = demand.held
        own.granted = amount
        own.grantedUntilMs = nowMs + terms.termMs + terms.marginMs
        return amount
    }

    /** Fair part of what is not set aside for silent entries; what nobody wants is divided evenly. */
    private fun fairShare(
        all: Map<VmId, Claimant>,
        entry: VmId,
        resource: ResourceId,
        limits: ShareLimits,
        nowMs: Long,
    ): Long {
        val live = all.filterValues { !it.isSilentAt(nowMs) }
        val total = limits.totals.getValue(resource)
        val setAside = limits.entries.filter { it !in live }.sumOf { staticShare(it, resource, total, limits.entries) }
        val shareable = maxOf(0, total - setAside)
        val wanted =
            waterFill(
                shareable,
                live.toSortedMap().mapValues { (_, claimant) ->
                    Claim(claimant.demand.wanted)
                },
            )
        val surplus = shareable - wanted.values.sum()
        return wanted.getValue(entry) + staticShare(entry, resource, surplus, live.keys.sorted())
    }

    private fun usable(
        claimant: Claimant?,
        entry: VmId,
        resource: ResourceId,
        limits: ShareLimits,
        nowMs: Long,
    ): Long {
        val granted = claimant?.usableAt(nowMs) ?: 0
        if (claimant != null && !claimant.isSilentAt(nowMs)) return granted
        return maxOf(granted, staticShare(entry, resource, limits.totals.getValue(resource), limits.entries))
    }

    private fun Claimant.isSilentAt(nowMs: Long) = nowMs - reportedAtMs > terms.silentAfterMs

    private fun Claimant.usableAt(nowMs: Long): Long {
        if (nowMs >= grantedUntilMs) return 0
        return maxOf(granted, heldBefore, demand.inUse)
    }
}
