/*
 * How many engines each availability zone should have.
 *
 * Load pattern: a trainer's step arrives whole, and a step is done when its longest items are, so items that wait for a
 * slot delay the trainer, while an engine that stands idle costs a small part of what a late group does. Engines need
 * seconds to start: they must be there before the step is. So there are enough slots for all items that were open at
 * once lately, and some spare for engines that load weights, turn slow or are taken away.
 */
package io.guavashore.edge.duties

import io.guavashore.api.ServiceId
import io.guavashore.api.ZoneId
import io.guavashore.edge.declared.ScalingSpec

/**
 * Engines wanted in each zone, from the highest number of items that were open at once lately. Zones get equal parts,
 * the cheaper ones first, so that the loss of one takes no more than its part.
 */
fun planScale(
    service: ServiceId,
    spec: ScalingSpec,
    slots: Int,
    models: Int,
    mostOpenItems: Int,
    terms: ScaleTerms = ScaleTerms(),
): List<TargetCount> {
    val zones =
        spec.priceByZone.entries
            .sortedWith(compareBy({ it.value }, { it.key }))
            .map { it.key }
    if (zones.isEmpty()) return emptyList()
    val forItems = kotlin.math.ceil(mostOpenItems * terms.slotsPerItem / slots.coerceAtLeast(1)).toInt()
    val wanted = maxOf(forItems, models * terms.enginesPerModel)
    return zones.mapIndexed { index, zone -> TargetCount(service, zone, share(wanted, zones, index, spec)) }
}

private fun share(
    wanted: Int,
    zones: List<ZoneId>,
    index: Int,
    spec: ScalingSpec,
): Int {
    val base = wanted / zones.size
    val extra = if (index < wanted % zones.size) 1 else 0
    return (base + extra).coerceIn(spec.min, spec.max)
}

/** Terms of the plan. */
data class ScaleTerms(
    /** Slots wanted for each item that is open at once. */
    val slotsPerItem: Double = 1.3,
    /** Engines wanted for each model, so that some serve while others load. */
    val enginesPerModel: Int = 3,
)
