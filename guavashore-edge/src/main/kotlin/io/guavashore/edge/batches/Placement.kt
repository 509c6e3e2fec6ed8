/*
 * Which waiting item runs on which engine next, and which running item should move.
 *
 * Load pattern: a trainer submits all items of a step at once and waits for nearly all of its groups, so a step takes
 * as long as its longest items. Lengths are skewed (a twelfth of the items are five times as long as the others),
 * engines differ in speed, and some become several times slower for seconds. Reading a prompt anew costs a few
 * milliseconds, so a run that is moved loses next to nothing.
 */
package io.guavashore.edge.batches

import io.guavashore.api.ServiceId
import io.guavashore.api.TargetId
import io.guavashore.edge.declared.ModelId

/**
 * Engine as the dispatcher sees it.
 *
 * @property runs items that this dispatcher has running there, as its memory sees them
 * @property msPerEvent measured pace; null until it has been measured
 * @property isUsable false while it leaves, loads weights, or has just failed
 * @property isLoading true while it loads weights
 */
data class EngineView(
    val id: TargetId,
    val service: ServiceId,
    val slots: Int,
    val memoryTokens: Int,
    val versions: Map<ModelId, Long>,
    val runs: List<RunEstimate>,
    val msPerEvent: Double?,
    val isUsable: Boolean,
    val isLoading: Boolean = false,
) {
    private val heldTokens = runs.sumOf { it.heldTokens }
    private val endTokens = runs.sumOf { it.endTokens }

    val running: Int get() = runs.size
    val hasRoom: Boolean get() = isUsable && running < slots

    /**
     * True if the peak of all runs, [next] among them, fits into [limitTokens]. It lies between what they hold now and
     * the sum of their ends, which mostly decides; each waiting item is tried on each engine.
     */
    internal fun fits(
        next: RunEstimate,
        limitTokens: Double,
    ): Boolean =
        when {
            endTokens + next.endTokens <= limitTokens -> true
            heldTokens + next.heldTokens > limitTokens -> false
            else -> peakTokens(runs + next) <= limitTokens
        }
}

/** Item as the dispatcher sees it. */
data class ItemDemand(
    val item: ItemState,
    val service: ServiceId,
    val model: ModelId?,
)

data class Assignment(
    val item: ItemState,
    val engine: TargetId,
)

/** Terms of placement. */
data class PlacementTerms(
    /** Tokens of one event of a stream: 63 to 83 on the sites measured; estimates of lengths are less exact. */
    val tokensPerEvent: Int = 63,
    /** Pace assumed of an engine that has not been measured. */
    val usualMsPerEvent: Double = 40.0,
    /** What a full engine costs an item over an empty one; batching slows engines by a few percent only. */
    val crowdingMs: Double = 250.0,
    /** Memory that the expected peak may fill; the rest absorbs runs that pass their estimates. */
    val memoryShare: Double = 0.85,
    /** An item moves only if the new engine is this much faster... */
    val moveSpeedRatio: Double = 1.7,
    /** ...and the move saves this much; a move costs a connection, a prompt and some noise in the estimates. */
    val moveGainMs: Double = 500.0,
    /** A run with less to do than this stays on an engine that begins to load. */
    val moveOffLoadMs: Double = 300.0,
)

/**
 * Order in which waiting items are placed: earlier due first, then what a trainer waits for in any case (groups that
 * are carried over come first in a batch), longest first within that.
 */
fun dispatchOrder(
    demands: List<ItemDemand>,
    terms: PlacementTerms = PlacementTerms(),
): List<ItemDemand> =
    demands.sortedWith(
        compareBy<ItemDemand> { it.item.batch.record.dueAtMs }
            .thenBy { it.item.batch.id.value }
            .thenByDescending { it.item.expectedTokensLeft(terms.tokensPerEvent) }
            .thenBy { it.item.position },
    )

/** Places as many of [demands] as [engines] have room for. */
fun place(
    demands: List<ItemDemand>,
    engines: List<EngineView>,
    terms: PlacementTerms = PlacementTerms(),
): List<Assignment> {
    val open = engines.filter { it.hasRoom }.associateByTo(LinkedHashMap()) { it.id }
    if (open.isEmpty()) return emptyList()
    val placed = ArrayList<Assignment>()
    for (demand in dispatchOrder(demands, terms)) {
        if (open.isEmpty()) break
        bestEngine(demand, open.values, terms)?.let { best ->
            placed += Assignment(demand.item, best.id)
            val filled = best.copy(runs = best.runs + demand.item.estimate(terms))
            if (filled.hasRoom) open[best.id] = filled else open.remove(best.id)
        }
    }
    return placed
}

/**
 * Engine to which the item on [current] should move, or null if it should stay. It moves from one that has turned slow,
 * and from one that loads weights, where its run stands still.
 */
fun betterEngine(
    demand: ItemDemand,
    current: EngineView,
    engines: List<EngineView>,
    terms: PlacementTerms = PlacementTerms(),
): EngineView? {
    val best = bestEngine(demand, engines.filter { it.id != current.id }, terms) ?: return null
    val eventsLeft = demand.item.expectedTokensLeft(terms.tokensPerEvent) / terms.tokensPerEvent.toDouble()
    val bestPace = best.msPerEvent ?: terms.usualMsPerEvent
    if (current.isLoading) return best.takeIf { eventsLeft * bestPace > terms.moveOffLoadMs }
    val pace = current.msPerEvent ?: return null
    val gainMs = eventsLeft * (pace - bestPace)
    return best.takeIf { pace > bestPace * terms.moveSpeedRatio && gainMs > terms.moveGainMs }
}

/** The item's run as an engine's memory sees it. */
fun ItemState.estimate(terms: PlacementTerms) =
    RunEstimate(
        heldTokens = spec.promptTokens + progress.size * terms.tokensPerEvent,
        leftTokens = expectedTokensLeft(terms.tokensPerEvent),
    )

private fun bestEngine(
    demand: ItemDemand,
    engines: kotlin.collections.Collection<EngineView>,
    terms: PlacementTerms,
): EngineView? {
    val next = demand.item.estimate(terms)
    val able = engines.filter { it.canTake(demand, next, terms) }
    val preferred = able.filter { it.id !in demand.item.avoid }.ifEmpty { able }
    return preferred.minByOrNull { it.costMs(demand, terms) }
}

private fun EngineView.canTake(
    demand: ItemDemand,
    next: RunEstimate,
    terms: PlacementTerms,
): Boolean {
    if (!hasRoom || service != demand.service) return false
    val version = demand.model?.let { versions[it] }
    if (demand.model != null && (version == null || version < demand.item.batch.record.minVersion)) return false
    return running == 0 || memoryTokens == 0 || fits(next, memoryTokens * terms.memoryShare)
}

private fun EngineView.costMs(
    demand: ItemDemand,
    terms: PlacementTerms,
): Double {
    val events = demand.item.expectedTokensLeft(terms.tokensPerEvent) / terms.tokensPerEvent.toDouble()
    return events * (msPerEvent ?: terms.usualMsPerEvent) + terms.crowdingMs * running / slots
}
