/*
 * How many engines each availability zone should have.
 *
 * Load pattern: a trainer's step arrives whole, and a step is done when its longest items are, so items that wait for a
 * slot delay the trainer, while an engine that stands idle costs a small part of what a late group does. Engines need
 * seconds to start: they must be there before the step is. On the other hand every engine must load new weights for
 * every second version, only a few can load at once, and an engine that is behind serves nothing: there is no use in
 * more engines than loads can keep up with.
 */
package io.guavashore.edge.duties

import io.guavashore.api.ServiceId
import io.guavashore.api.ZoneId
import io.guavashore.edge.declared.ScalingSpec

/**
 * What a service's engines are asked for.
 *
 * @property slots requests that one engine runs at once
 * @property models models that they serve
 * @property mostOpenItems highest number of items that were open at once lately; null while none have come
 * @property presentEngines engines that run now
 * @property loadsPerSecond loads of weights that engines can carry out in a second
 * @property versionEveryMs time between two versions of one model
 */
data class EngineDemand(
    val slots: Int,
    val models: Int,
    val mostOpenItems: Int?,
    val presentEngines: Int,
    val loadsPerSecond: Double,
    val versionEveryMs: Long,
)

/**
 * Engines wanted in each zone. Zones get equal parts, the cheaper ones first, so that a loss takes no more than that.
 */
fun planScale(
    service: ServiceId,
    spec: ScalingSpec,
    demand: EngineDemand,
    terms: ScaleTerms = ScaleTerms(),
): List<TargetCount> {
    val zones =
        spec.priceByZone.entries
            .sortedWith(compareBy({ it.value }, { it.key }))
            .map { it.key }
    if (zones.isEmpty()) return emptyList()
    val wanted = enginesWanted(demand, terms)
    return zones.mapIndexed { index, zone -> TargetCount(service, zone, share(wanted, zones, index, spec)) }
}

private fun enginesWanted(
    demand: EngineDemand,
    terms: ScaleTerms,
): Int {
    val forItems =
        demand.mostOpenItems?.let { it * terms.slotsPerItem / demand.slots.coerceAtLeast(1) }
            ?: (demand.presentEngines * terms.growthAheadOfDemand)
    val keptUp = terms.versionsPerLoad * demand.loadsPerSecond * demand.versionEveryMs / MS_PER_S
    val least = demand.models * terms.enginesPerModel
    return maxOf(least, minOf(kotlin.math.ceil(forItems).toInt(), keptUp.toInt()))
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
    /** Slots wanted for each open item; the short ones of a step share slots. */
    val slotsPerItem: Double = 0.8,
    /** Before the first step nothing is known of its size: so many engines for each one that operators started. */
    val growthAheadOfDemand: Double = 1.8,
    /** Versions that an engine serves between two loads. */
    val versionsPerLoad: Double = 2.0,
    /** Engines wanted for each model, so that some serve while others load. */
    val enginesPerModel: Int = 3,
)

private const val MS_PER_S = 1_000.0
