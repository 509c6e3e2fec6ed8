/*
 * Assigns engines to models and selects the engines that load newer weights next.
 *
 * Several trainers publish a version every few seconds. A load takes an engine out of service for about a second, and
 * concurrent loads slow each other down, so if every engine served every model, the loads alone would exceed the
 * available time. Therefore each model gets an equal share of the engines. A batch accepts the newest version and the
 * one before, so engines that are one version behind keep serving and load when they are idle. Only engines that no
 * future batch could use load immediately.
 *
 * With fewer engines than models, or with engines that hold only some of the models, engines serve further models
 * beside the one that they are assigned to, so that no model that an engine holds is left without one.
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
 * @property held models that the engine holds; null if they are not known
 * @property furtherModels models that the engine serves beside [model]
 */
data class EngineSnapshot(
    val id: TargetId,
    val model: ModelId?,
    val versions: Map<ModelId, Long>,
    val running: Int,
    val isLoading: Boolean,
    val held: Set<ModelId>? = null,
    val furtherModels: Set<ModelId> = emptySet(),
) {
    /** All models that the engine serves; empty for an engine that serves any. */
    val models: Set<ModelId> get() = setOfNotNull(model) + furtherModels

    internal fun holds(model: ModelId) = held == null || model in held
}

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
 * Assigns [engines] to [models] that they hold in equal shares, keeping the assignments in [current] as far as these
 * are balanced. A model receives the unassigned engines with the smallest version lag first. Engines that change their
 * model are the ones with the fewest running requests, then with the smallest lag.
 */
fun assignModels(
    engines: List<EngineSnapshot>,
    models: List<ModelVersions>,
    current: Map<TargetId, ModelId>,
): Map<TargetId, ModelId> {
    if (models.isEmpty()) return emptyMap()
    val known = models.associateBy { it.model }
    val assigned = HashMap<TargetId, ModelId>()
    engines.forEach { engine ->
        current[engine.id]?.takeIf { it in known && engine.holds(it) }?.let { assigned[engine.id] = it }
    }
    val unassigned = engines.filter { it.id !in assigned }.toMutableList()
    while (true) {
        val model =
            models
                .filter { model -> unassigned.any { it.holds(model.model) } }
                .minWithOrNull(compareBy({ assigned.countOf(it.model) }, { it.model.value })) ?: break
        val engine = unassigned.filter { it.holds(model.model) }.minWith(compareBy({ it.lag(model) }, { it.id }))
        assigned[engine.id] = model.model
        unassigned -= engine
    }
    rebalance(engines, models, assigned)
    return assigned
}

/** Moves engines from models with more to models with fewer until the counts differ by at most one, if possible. */
private fun rebalance(
    engines: List<EngineSnapshot>,
    models: List<ModelVersions>,
    assigned: HashMap<TargetId, ModelId>,
) {
    while (true) {
        val counts = models.associate { it.model to assigned.countOf(it.model) }
        val (engine, model) =
            models
                .sortedWith(compareBy({ counts[it.model] }, { it.model.value }))
                .firstNotNullOfOrNull { model ->
                    engineToMove(engines, model, assigned, counts)?.let { it to model.model }
                }
                ?: return
        assigned[engine] = model
    }
}

/** Engine to assign to [model] instead of a model that has at least two engines more; null if there is none. */
private fun engineToMove(
    engines: List<EngineSnapshot>,
    model: ModelVersions,
    assigned: Map<TargetId, ModelId>,
    counts: Map<ModelId, Int>,
): TargetId? {
    fun EngineSnapshot.count() = assigned[id]?.let(counts::get) ?: 0
    return engines
        .filter { it.count() > counts.getValue(model.model) + 1 && !it.isLoading && it.holds(model.model) }
        .minWithOrNull(
            compareBy({ -it.count() }, { assigned[it.id]?.value }, { it.running }, { it.lag(model) }, { it.id }),
        )?.id
}

/**
 * Models that engines serve beside the one that they are assigned to: each model to which none of [engines] is assigned
 * goes to one that holds it, in equal shares. Engines keep their further models as far as the shares allow it.
 */
fun coverModels(
    engines: List<EngineSnapshot>,
    models: List<ModelVersions>,
): Map<TargetId, Set<ModelId>> {
    val uncovered = models.filter { model -> engines.none { it.model == model.model } }
    if (uncovered.isEmpty() || engines.isEmpty()) return emptyMap()
    val further = engines.associate { it.id to HashSet<ModelId>() }
    val share = (models.size + engines.size - 1) / engines.size

    fun EngineSnapshot.modelCount() = further.getValue(id).size + if (model == null) 0 else 1
    val moved =
        uncovered.filterNot { model ->
            engines
                .firstOrNull { model.model in it.furtherModels && it.holds(model.model) && it.modelCount() < share }
                ?.let { further.getValue(it.id).add(model.model) } ?: false
        }
    moved.forEach { model ->
        engines
            .filter { it.holds(model.model) }
            .minWithOrNull(
                compareBy({ it.modelCount() }, { it.isLoading }, { it.lag(model) }, { it.running }, { it.id }),
            )?.let { further.getValue(it.id).add(model.model) }
    }
    return further
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

private fun List<EngineSnapshot>.of(model: ModelVersions) = filter { model.model in it.models }

private fun EngineSnapshot.version(model: ModelVersions): Long = versions[model.model] ?: 0

private fun EngineSnapshot.lag(model: ModelVersions): Long = maxOf(0, model.newest - version(model))

private fun Map<TargetId, ModelId>.countOf(model: ModelId): Int = values.count { it == model }
