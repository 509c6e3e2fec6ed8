/*
 * Computes the desired number of engines per availability zone.
 *
 * All items of a training step arrive at once, and the step ends with its longest items, so items that wait for a slot
 * delay the trainer. An idle engine costs far less than a late group. Engines take seconds to start, so they must run
 * before the step arrives. The upper bound comes from weight loads: every engine must load every second version, only
 * a few engines can load concurrently, and an engine with outdated weights serves nothing. More engines than loads can
 * keep up to date are useless.
 */
package io.guavashore.edge.duties

import io.guavashore.api.ServiceId
import io.guavashore.api.ZoneId
import io.guavashore.edge.declared.ScalingSpec

/**
 * Demand on the engines of one service.
 *
 * @property slots requests that one engine runs concurrently
 * @property models number of models that the engines serve
 * @property maxOpenItems maximum of concurrently open items in the recent past; null before the first items
 * @property initialEngines engines that ran when the coordinator first had a stable count
 * @property loadsPerSecond weight loads that the engines can complete per second
 * @property versionIntervalMs time between two versions of one model
 */
data class EngineDemand(
    val slots: Int,
    val models: Int,
    val maxOpenItems: Int?,
    val initialEngines: Int,
    val loadsPerSecond: Double,
    val versionIntervalMs: Long,
)

/**
 * Desired number of engines in each zone. Engines are spread evenly, with the remainder in the cheapest zones, so that
 * the loss of a zone takes no more than its even share. Zones in [evacuated] get none.
 */
fun planEngineCounts(
    service: ServiceId,
    spec: ScalingSpec,
    demand: EngineDemand,
    evacuated: Set<ZoneId> = emptySet(),
    config: ScalingConfig = ScalingConfig(),
): List<TargetCount> {
    val zones =
        spec.priceByZone.entries
            .filterNot { it.key in evacuated }
            .sortedWith(compareBy({ it.value }, { it.key }))
            .map { it.key }
    if (zones.isEmpty()) return emptyList()
    val desired = desiredEngines(demand, config)
    return zones.mapIndexed { index, zone ->
        TargetCount(service, zone, engineCountOfZone(desired, zones, index, spec))
    }
}

private fun desiredEngines(
    demand: EngineDemand,
    config: ScalingConfig,
): Int {
    val forOpenItems =
        demand.maxOpenItems?.let { it * config.slotsPerItem / demand.slots.coerceAtLeast(1) }
            ?: (demand.initialEngines * config.initialGrowthFactor)
    val maxForLoads = config.versionsPerLoad * demand.loadsPerSecond * demand.versionIntervalMs / MS_PER_S
    val minEngines = demand.models * config.minEnginesPerModel
    return maxOf(minEngines, minOf(kotlin.math.ceil(forOpenItems).toInt(), maxForLoads.toInt()))
}

private fun engineCountOfZone(
    desired: Int,
    zones: List<ZoneId>,
    index: Int,
    spec: ScalingSpec,
): Int {
    val base = desired / zones.size
    val extra = if (index < desired % zones.size) 1 else 0
    return (base + extra).coerceIn(spec.min, spec.max)
}

/** Parameters of [planEngineCounts]. */
data class ScalingConfig(
    /** Slots per open item; below 1, since short items of a step finish early and free their slots. */
    val slotsPerItem: Double = 0.8,
    /** Engines per initially running engine, used before the first step, whose size is not known in advance. */
    val initialGrowthFactor: Double = 1.8,
    /** Versions that an engine serves per load, as batches accept two versions. */
    val versionsPerLoad: Double = 2.0,
    /** Minimum number of engines per model, so that some serve while others load. */
    val minEnginesPerModel: Int = 3,
)

private const val MS_PER_S = 1_000.0
