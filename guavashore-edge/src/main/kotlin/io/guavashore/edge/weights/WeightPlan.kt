/*
 * Which engine serves which model, and which engine loads a newer version of its weights next.
 *
 * Load pattern: several trainers name a version every few seconds, each load takes an engine out for about a second and
 * loads slow each other down. If every engine served every model, loads alone would take more time than there is.
 * So each model has its own engines in equal parts. A batch accepts the version before the newest one, so engines that
 * are one version behind go on serving and load when they are idle; only engines that no coming batch could
 * use load at once.
 */
package io.guavashore.edge.weights

import io.guavashore.api.TargetId
import io.guavashore.edge.declared.ModelId

/**
 * Model that is being trained.
 *
 * @property newest version that its trainer has named last
 * @property required oldest version that batches accept from now on
 */
data class ModelVersions(
    val model: ModelId,
    val newest: Long,
    val required: Long,
)

/** Engine as the plan sees it. */
data class EngineLoad(
    val id: TargetId,
    val model: ModelId?,
    val versions: Map<ModelId, Long>,
    val running: Int,
    val isLoading: Boolean,
)

/** Order to bring [engine] to [version] of [model]. */
data class LoadDecision(
    val engine: TargetId,
    val model: ModelId,
    val version: Long,
)

/** Terms of the plan. */
data class WeightTerms(
    /** Loads at once below which one does not slow another. */
    val loadsAtOnce: Int = 2,
    /**
     * Share of a model's engines that keep serving while others load ahead of need, and share that is brought to each
     * version: as a batch accepts two versions, every engine needs every second one only, and each load has a price.
     */
    val servingShare: Double = 0.5,
)

/**
 * Deals [engines] out to [models] in equal parts, keeping [current] as far as it is balanced. An engine that changes
 * its model is the one for which that costs least: it holds the newest version of the new model already, or else any.
 */
fun dealModels(
    engines: List<EngineLoad>,
    models: List<ModelVersions>,
    current: Map<TargetId, ModelId>,
): Map<TargetId, ModelId> {
    if (models.isEmpty()) return emptyMap()
    val known = models.associateBy { it.model }
    val dealt = HashMap<TargetId, ModelId>()
    engines.forEach { engine -> current[engine.id]?.takeIf { it in known }?.let { dealt[engine.id] = it } }
    val free = engines.filter { it.id !in dealt }.toMutableList()
    while (free.isNotEmpty()) {
        val model = models.minWith(compareBy({ dealt.countOf(it.model) }, { it.model.value }))
        val engine = free.minWith(compareBy({ it.lag(model) }, { it.id }))
        dealt[engine.id] = model.model
        free -= engine
    }
    evenOut(engines, models, dealt)
    return dealt
}

/** Moves single engines from the model that has most to the one that has least until they differ by one at most. */
private fun evenOut(
    engines: List<EngineLoad>,
    models: List<ModelVersions>,
    dealt: HashMap<TargetId, ModelId>,
) {
    while (true) {
        val most = models.maxWith(compareBy({ dealt.countOf(it.model) }, { it.model.value }))
        val least = models.minWith(compareBy({ dealt.countOf(it.model) }, { it.model.value }))
        if (dealt.countOf(most.model) - dealt.countOf(least.model) <= 1) return
        val mover =
            engines
                .filter { dealt[it.id] == most.model && !it.isLoading }
                .minWithOrNull(compareBy({ it.running }, { it.lag(least) }, { it.id })) ?: return
        dealt[mover.id] = least.model
    }
}

/** Loads to order now, most urgent first. */
fun planLoads(
    engines: List<EngineLoad>,
    models: List<ModelVersions>,
    terms: WeightTerms = WeightTerms(),
): List<LoadDecision> {
    val room = terms.loadsAtOnce - engines.count { it.isLoading }
    if (room <= 0) return emptyList()
    val urgent = models.flatMap { model -> urgentLoads(engines.of(model), model) }
    val ahead = models.flatMap { model -> loadsAhead(engines.of(model), model, terms) }
    return (urgent + ahead).distinctBy { it.engine }.take(room)
}

/**
 * Engines that no coming batch could use; the model with the fewest engines left serving goes first. While the store is
 * away a batch may ask for a version whose naming is not known here yet: no load helps it then.
 */
private fun urgentLoads(
    engines: List<EngineLoad>,
    model: ModelVersions,
): List<LoadDecision> =
    engines
        .filter { !it.isLoading && it.version(model) < minOf(model.required, model.newest) }
        .sortedWith(compareBy({ it.running }, { it.id }))
        .map { LoadDecision(it.id, model.model, model.newest) }

private fun loadsAhead(
    engines: List<EngineLoad>,
    model: ModelVersions,
    terms: WeightTerms,
): List<LoadDecision> {
    val serving = engines.count { !it.isLoading && it.version(model) >= model.required }
    val half = maxOf(1, kotlin.math.ceil(engines.size * terms.servingShare).toInt())
    val newest = engines.count { it.version(model) >= model.newest || it.isLoading }
    val spare = minOf(serving - half, half - newest)
    return engines
        .filter { !it.isLoading && it.running == 0 && it.version(model) in model.required until model.newest }
        .sortedBy { it.id }
        .take(maxOf(0, spare))
        .map { LoadDecision(it.id, model.model, model.newest) }
}

private fun List<EngineLoad>.of(model: ModelVersions) = filter { it.model == model.model }

private fun EngineLoad.version(model: ModelVersions): Long = versions[model.model] ?: 0

private fun EngineLoad.lag(model: ModelVersions): Long = maxOf(0, model.newest - version(model))

private fun Map<TargetId, ModelId>.countOf(model: ModelId): Int = values.count { it == model }
