/*
 * Assigns engines to models and selects the engines that load newer weights next.
 *
 * Several trainers publish a version every few seconds. A load takes an engine out of service for about a second, and
 * concurrent loads slow each other down, so if every engine served every model, the loads alone would exceed the
 * available time. Therefore each model gets an equal share of the engines. A batch accepts the newest version and the
 * one before, so engines that are one version behind keep serving and load when they are idle. Only engines that no
 * future batch could use load immediately.
 */
package io.guavashore.edge.weights

import io.guavashore.api.TargetId
import io.guavashore.edge.declared.ModelId

/**
 * Published and required versions of a model that is being trained.
 *
 * @property newest last version that the trainer published
 * @property required oldest version that future batches accept
 */
data class ModelVersions(
    val model: ModelId,
    val newest: Long,
    val required: Long,
)

/**
 * Input of the plan for one engine.
 *
 * @property model model that the engine is assigned to, or null if none
 * @property versions loaded version of each model
 * @property running requests that run on the engine
 */
data class EngineSnapshot(
    val id: TargetId,
    val model: ModelId?,
    val versions: Map<ModelId, Long>,
    val running: Int,
    val isLoading: Boolean,
)

/** Decision that [engine] loads [version] of [model]. */
data class LoadDecision(
    val engine: TargetId,
    val model: ModelId,
    val version: Long,
)

/** Parameters of [planLoads]. */
data class WeightLoadConfig(
    /** Number of concurrent loads up to which they do not slow each other down. */
    val maxConcurrentLoads: Int = 2,
    /**
     * Minimum share of a model's engines that keep serving while idle engines load a version that no batch requires
     * yet. Also the share that loads each version: as a batch accepts two versions, every engine needs only every
     * second one, and loads are costly.
     */
    val minServingShare: Double = 0.5,
)

/**
 * Assigns [engines] to [models] in equal shares, keeping the assignments in [current] as far as these are balanced.
 * A model receives the unassigned engines with the smallest version lag first. Engines that change their model are the
 * ones with the fewest running requests, then with the smallest lag.
 */
fun assignModels(
    engines: List<EngineSnapshot>,
    models: List<ModelVersions>,
    current: Map<TargetId, ModelId>,
): Map<TargetId, ModelId> {
    if (models.isEmpty()) return emptyMap()
    val known = models.associateBy { it.model }
    val assigned = HashMap<TargetId, ModelId>()
    engines.forEach { engine -> current[engine.id]?.takeIf { it in known }?.let { assigned[engine.id] = it } }
    val unassigned = engines.filter { it.id !in assigned }.toMutableList()
    while (unassigned.isNotEmpty()) {
        val model = models.minWith(compareBy({ assigned.countOf(it.model) }, { it.model.value }))
        val engine = unassigned.minWith(compareBy({ it.lag(model) }, { it.id }))
        assigned[engine.id] = model.model
        unassigned -= engine
    }
    rebalance(engines, models, assigned)
    return assigned
}

/** Moves engines from the model with the most to the one with the fewest until their counts differ by at most one. */
private fun rebalance(
    engines: List<EngineSnapshot>,
    models: List<ModelVersions>,
    assigned: HashMap<TargetId, ModelId>,
) {
    while (true) {
        val largest = models.maxWith(compareBy({ assigned.countOf(it.model) }, { it.model.value }))
        val smallest = models.minWith(compareBy({ assigned.countOf(it.model) }, { it.model.value }))
        if (assigned.countOf(largest.model) - assigned.countOf(smallest.model) <= 1) return
        val moved =
            engines
                .filter { assigned[it.id] == largest.model && !it.isLoading }
                .minWithOrNull(compareBy({ it.running }, { it.lag(smallest) }, { it.id })) ?: return
        assigned[moved.id] = smallest.model
    }
}

/** Loads to start now, urgent ones first, up to the limit of concurrent loads. */
fun planLoads(
    engines: List<EngineSnapshot>,
    models: List<ModelVersions>,
    config: WeightLoadConfig = WeightLoadConfig(),
): List<LoadDecision> {
    val freeLoads = config.maxConcurrentLoads - engines.count { it.isLoading }
    if (freeLoads <= 0) return emptyList()
    val urgent = models.flatMap { model -> urgentLoads(engines.of(model), model) }
    val early = models.flatMap { model -> earlyLoads(engines.of(model), model, config) }
    return (urgent + early).distinctBy { it.engine }.take(freeLoads)
}

/**
 * Loads of engines that no future batch could use, least busy engine first. While the store is unavailable, a batch may
 * require a version that is not yet known here as published. An engine that holds the newest known version is not
 * ordered to load then, as it could not load anything newer.
 */
private fun urgentLoads(
    engines: List<EngineSnapshot>,
    model: ModelVersions,
): List<LoadDecision> =
    engines
        .filter { !it.isLoading && it.version(model) < minOf(model.required, model.newest) }
        .sortedWith(compareBy({ it.running }, { it.id }))
        .map { LoadDecision(it.id, model.model, model.newest) }

/** Loads of idle engines whose version is still accepted, as far as enough other engines keep serving. */
private fun earlyLoads(
    engines: List<EngineSnapshot>,
    model: ModelVersions,
    config: WeightLoadConfig,
): List<LoadDecision> {
    val serving = engines.count { !it.isLoading && it.version(model) >= model.required }
    val minServing = maxOf(1, kotlin.math.ceil(engines.size * config.minServingShare).toInt())
    val loadedOrLoading = engines.count { it.version(model) >= model.newest || it.isLoading }
    val spare = minOf(serving - minServing, minServing - loadedOrLoading)
    return engines
        .filter { !it.isLoading && it.running == 0 && it.version(model) in model.required until model.newest }
        .sortedBy { it.id }
        .take(maxOf(0, spare))
        .map { LoadDecision(it.id, model.model, model.newest) }
}

private fun List<EngineSnapshot>.of(model: ModelVersions) = filter { it.model == model.model }

private fun EngineSnapshot.version(model: ModelVersions): Long = versions[model.model] ?: 0

private fun EngineSnapshot.lag(model: ModelVersions): Long = maxOf(0, model.newest - version(model))

private fun Map<TargetId, ModelId>.countOf(model: ModelId): Int = values.count { it == model }
