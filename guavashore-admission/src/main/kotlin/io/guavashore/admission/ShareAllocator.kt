/*
 * Divides a limited resource (a target's slots, an organisation's rate) among the entry nodes that use it.
 *
 * Each share expires. The entry node counts the time from before it sent its report, the allocator from after it
 * responded, so a share has always expired at its holder before the allocator grants it to another node. For a node
 * that does not report, the allocator reserves the equal share that the node falls back to, so that entry nodes
 * continue to serve while the allocator is unreachable.
 */
package io.guavashore.admission

import io.guavashore.api.VmId

/** Total of each resource, and the entry nodes that may claim it. */
data class ShareLimits(
    val totals: Map<ResourceId, Long>,
    val entries: List<VmId>,
)

/**
 * Allocator of one lease holder. Not thread-safe.
 *
 * A new allocator does not know its predecessor's grants. Until one share duration plus margin has passed, it only
 * renews the share that an entry node reports to hold.
 */
class ShareAllocator(
    private val startedAtMs: Long,
    private val timing: ShareTiming = ShareTiming(),
) {
    /**
     * State of one entry node: it holds [granted] if it received the last response, else still [heldBefore]. Its next
     * report states the share that it holds.
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
     * Processes the report of [entry] and returns its new shares. Each is valid for [ShareTiming.durationMs], counted
     * from before the report was sent. Resources outside [limits] get no share.
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

    /** Sums demand, use and grants of [resource] over the entry nodes that have reported recently. */
    fun load(
        resource: ResourceId,
        nowMs: Long,
    ): Demand {
        val live = claimants[resource].orEmpty().values.filter { !it.isSilentAt(nowMs) }
        return Demand(
            desired = live.sumOf { it.demand.desired },
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
        val free = maxOf(0, total - others.sumOf { maxUsable(all[it], it, resource, limits, nowMs) })
        val inGracePeriod = nowMs < startedAtMs + timing.durationMs + timing.marginMs
        val amount = minOf(free, if (inGracePeriod) demand.held else fairShare(all, entry, resource, limits, nowMs))
        own.heldBefore = demand.held
        own.granted = amount
        own.grantedUntilMs = nowMs + timing.durationMs + timing.marginMs
        return amount
    }

    /** Max-min fair share of the amount not reserved for silent entry nodes; any surplus is divided evenly. */
    private fun fairShare(
        all: Map<VmId, Claimant>,
        entry: VmId,
        resource: ResourceId,
        limits: ShareLimits,
        nowMs: Long,
    ): Long {
        val live = all.filterValues { !it.isSilentAt(nowMs) }
        val total = limits.totals.getValue(resource)
        val reservedForSilent =
            limits.entries
                .filter { it !in live }
                .sumOf { equalShare(it, resource, total, limits.entries) }
        val shareable = maxOf(0, total - reservedForSilent)
        val fair =
            waterFill(
                shareable,
                live.toSortedMap().mapValues { (_, claimant) ->
                    WeightedDemand(claimant.demand.desired)
                },
            )
        val surplus = shareable - fair.values.sum()
        return fair.getValue(entry) + equalShare(entry, resource, surplus, live.keys.sorted())
    }

    /** Upper bound on the amount that [entry] may be using at [nowMs], including its fallback if it does not report. */
    private fun maxUsable(
        claimant: Claimant?,
        entry: VmId,
        resource: ResourceId,
        limits: ShareLimits,
        nowMs: Long,
    ): Long {
        val granted = claimant?.maxUsableAt(nowMs) ?: 0
        if (claimant != null && !claimant.isSilentAt(nowMs)) return granted
        return maxOf(granted, equalShare(entry, resource, limits.totals.getValue(resource), limits.entries))
    }

    private fun Claimant.isSilentAt(nowMs: Long) = nowMs - reportedAtMs > timing.silentAfterMs

    private fun Claimant.maxUsableAt(nowMs: Long): Long {
        if (nowMs >= grantedUntilMs) return 0
        return maxOf(granted, heldBefore, demand.inUse)
    }
}
