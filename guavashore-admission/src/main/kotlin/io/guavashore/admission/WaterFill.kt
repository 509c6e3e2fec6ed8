/*
 * Division of a total among claimants by max-min fairness: nobody gets more than it asks for, and what one leaves
 * over goes to the others by weight.
 */
package io.guavashore.admission

/**
 * Divides [total] among [claims]. The sum of the result never exceeds [total] or any claim's demand; remainders of
 * the integer division go to the claimants in the order of the map.
 */
fun <K> waterFill(
    total: Long,
    claims: Map<K, Claim>,
): Map<K, Long> {
    val shares = claims.mapValues { 0L }.toMutableMap()
    var left = total
    var open = claims.filterValues { it.demand > 0 }
    while (left > 0 && open.isNotEmpty()) {
        val weightSum = open.values.sumOf { it.weight.toLong() }
        val level = left / weightSum
        if (level == 0L) return shares.apply { dealOneEach(left, open, this) }
        open.forEach { (claimant, claim) ->
            val more = minOf(level * claim.weight, claim.demand - shares.getValue(claimant))
            shares[claimant] = shares.getValue(claimant) + more
            left -= more
        }
        open = open.filter { (claimant, claim) -> shares.getValue(claimant) < claim.demand }
    }
    return shares
}

private fun <K> dealOneEach(
    left: Long,
    open: Map<K, Claim>,
    shares: MutableMap<K, Long>,
) {
    open.keys.take(left.toInt()).forEach { shares[it] = shares.getValue(it) + 1 }
}
