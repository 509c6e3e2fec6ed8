/*
 * Shares of a limited resource (a target's slots, an organisation's rate) for the entries that use it.
 *
 * Each share lapses by a deadline. An entry counts the deadline from before it sent its report, the allocator from
 * after it answered, so a share has always lapsed at its holder before the allocator hands it to another. A fixed
 * floor of each resource is never handed out: entries without a live share divide it by rendezvous hashing, so that
 * they serve on when the allocator can't be reached.
 */
package io.guavashore.admission

import io.guavashore.api.VmId
import io.guavashore.api.rendezvousRank
import kotlinx.serialization.Serializable

/** Name of a limited resource, such as `slots/engine-3`. */
@JvmInline
@Serializable
value class ResourceId(
    val value: String,
) {
    override fun toString() = value
}

/** What an entry wants of one resource, and what it uses right now. */
@Serializable
data class Demand(
    val wanted: Long,
    val inUse: Long,
    val held: Long,
)

/** Share of one entry; of no use after [termMs] counted from before the report was sent. */
@Serializable
data class Share(
    val amount: Long,
    val termMs: Long,
)

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
    private val termMs: Long = 6_000,
    private val marginMs: Long = 1_000,
) {
    /** The entry holds [granted] if the last answer reached it, else still [heldBefore] until that lapses. */
    private class Claimant(
        var demand: Demand,
        var granted: Long = 0,
        var grantedUntilMs: Long = 0,
        var heldBefore: Long = 0,
        var heldBeforeUntilMs: Long = 0,
    )

    private val claimants = HashMap<ResourceId, HashMap<VmId, Claimant>>()

    /** Takes the report of [entry] and returns its new shares; resources outside [limits] get none. */
    fun report(
        entry: VmId,
        demands: Map<ResourceId, Demand>,
        limits: ShareLimits,
        nowMs: Long,
    ): Map<ResourceId, Share> =
        demands
            .filterKeys { it in limits.totals }
            .mapValues { (resource, demand) ->
                Share(amount = share(entry, resource, demand, limits, nowMs), termMs = termMs)
            }

    /** What the entries together may use of [resource] at [nowMs], floors aside. */
    fun committed(
        resource: ResourceId,
        nowMs: Long,
    ): Long = claimants[resource].orEmpty().values.sumOf { it.usableAt(nowMs) }

    private fun share(
        entry: VmId,
        resource: ResourceId,
        demand: Demand,
        limits: ShareLimits,
        nowMs: Long,
    ): Long {
        val all = claimants.getOrPut(resource) { HashMap() }
        val own = all.getOrPut(entry) { Claimant(demand) }
        own.demand = demand
        val total = limits.totals.getValue(resource)
        val shareable = total - floorTotal(total)
        val committedToOthers = all.filterKeys { it != entry }.values.sumOf { it.usableAt(nowMs) }
        val free = maxOf(0, shareable - committedToOthers)
        val amount =
            if (nowMs < startedAtMs + termMs + marginMs) {
                minOf(demand.held, free)
            } else {
                minOf(fairShare(all, entry, shareable, nowMs), free)
            }
        own.heldBefore = demand.held
        own.heldBeforeUntilMs = maxOf(own.heldBeforeUntilMs, own.grantedUntilMs)
        own.granted = amount
        own.grantedUntilMs = nowMs + termMs + marginMs
        return amount
    }

    private fun fairShare(
        all: Map<VmId, Claimant>,
        entry: VmId,
        shareable: Long,
        nowMs: Long,
    ): Long {
        val live = all.filter { (vm, claimant) -> vm == entry || claimant.grantedUntilMs > nowMs }
        val claims = live.toSortedMap().mapValues { (_, claimant) -> Claim(claimant.demand.wanted) }
        return waterFill(shareable, claims).getValue(entry)
    }

    private fun Claimant.usableAt(nowMs: Long): Long {
        if (nowMs >= grantedUntilMs) return 0
        val before = if (nowMs < heldBeforeUntilMs) heldBefore else 0
        return maxOf(granted, before, demand.inUse)
    }

    companion object {
        private const val FLOOR_DIVISOR = 4

        /** Part of [total] that is never handed out but divided by [floorShare]. */
        fun floorTotal(total: Long): Long = total / FLOOR_DIVISOR

        /** What [entry] may use of [resource] in addition to its share, live or lapsed. */
        fun floorShare(
            entry: VmId,
            resource: ResourceId,
            total: Long,
            entries: List<VmId>,
        ): Long {
            if (entries.isEmpty()) return 0
            val floor = floorTotal(total)
            val rank = rendezvousRank(resource.value, entries).indexOf(entry)
            if (rank < 0) return 0
            return floor / entries.size + if (rank < floor % entries.size) 1 else 0
        }
    }
}
