/*
 * Weighted max-min fair division by water-filling: no claimant gets more than its demand, and the amount that one
 * does not need is divided among the others by weight.
 */
package io.guavashore.admission

/**
 * Divides [total] among the claimants in [demands]. The sum of the shares never exceeds [total], and no share exceeds
 * its claimant's demand. The remainder of the integer division goes to the claimants in the order of the map.
 */
fun <K> waterFill(
    total: Long,
    demands: Map<K, WeightedDemand>,
): Map<K, Long> {
    val shares = demands.mapValues { 0L }.toMutableMap()
    var left = total
    var unsatisfied = demands.filterValues { it.demand > 0 }
    while (left > 0 && unsatisfied.isNotEmpty()) {
        val weightSum = unsatisfied.values.sumOf { it.weight.toLong() }
        val level = left / weightSum
        if (level == 0L) return shares.apply { distributeRemainder(left, unsatisfied, this) }
        unsatisfied.forEach { (claimant, weighted) ->
            val more = minOf(level * weighted.weight, weighted.demand - shares.getValue(claimant))
            shares[claimant] = shares.getValue(claimant) + more
            left -= more
        }
        unsatisfied = unsatisfied.filter { (claimant, weighted) -> shares.getValue(claimant) < weighted.demand }
    }
    return shares
}

private fun <K> distributeRemainder(
    left: Long,
    unsatisfied: Map<K, WeightedDemand>,
    shares: MutableMap<K, Long>,
) {
    unsatisfied.keys.take(left.toInt()).forEach { shares[it] = shares.getValue(it) + 1 }
}
