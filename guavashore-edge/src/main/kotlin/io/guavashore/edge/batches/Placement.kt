/*
 * Placement policy: assigns waiting items to engines, and selects the running items that should move to another engine.
 *
 * A trainer submits all items of a step at once and waits for nearly all of its groups, so a step takes as long as its
 * longest items. Lengths are skewed (one item in twelve is five times as long as the others), engines differ in speed,
 * and some become several times slower for seconds. Placing the longest items first, on fast engines, therefore
 * shortens the step. Moving a run costs little, because processing a prompt again takes only a few milliseconds.
 */
package io.guavashore.edge.batches

import io.guavashore.api.ServiceId
import io.guavashore.api.TargetId
import io.guavashore.edge.declared.ModelId
import io.guavashore.edge.declared.SoftwareVersion

/**
 * Snapshot of an engine for placement.
 *
 * @property slots maximum number of concurrent runs
 * @property memoryTokens capacity of the engine's memory in tokens; 0 if it is not limited
 * @property software software version of the engine; an item goes on only at the version that began its text
 * @property versions version of the weights that the engine serves, per model
 * @property runs memory estimates of the items that this dispatcher runs on the engine
 * @property msPerEvent measured time between events of a run; null until measured
 * @property isUsable false while the engine leaves, loads weights, or has just failed
 * @property isLoading true while the engine loads weights
 * @property startsAllowed number of runs that may be started now within the engine's request limit
 * @property isCold true while the engine bears few starts per second; engines that are warm are preferred
 */
data class EngineView(
    val id: TargetId,
    val service: ServiceId,
    val slots: Int,
    val memoryTokens: Int,
    val software: SoftwareVersion,
    val versions: Map<ModelId, Long>,
    val runs: List<MemoryEstimate>,
    val msPerEvent: Double?,
    val isUsable: Boolean,
    val isLoading: Boolean = false,
    val startsAllowed: Int = Int.MAX_VALUE,
    val isCold: Boolean = false,
) {
    private val currentTokens = runs.sumOf { it.currentTokens }
    private val finalTokens = runs.sumOf { it.finalTokens }

    val running: Int get() = runs.size
    val hasFreeSlot: Boolean get() = isUsable && running < slots && startsAllowed > 0

    /**
     * True if the peak memory of all runs, with [next] added, is at most [limitTokens]. The peak lies between the
     * current and the final total. Comparing these two decides most cases without the costlier peak, which matters
     * because each waiting item is tried on each engine.
     */
    internal fun fits(
        next: MemoryEstimate,
        limitTokens: Double,
    ): Boolean =
        when {
            finalTokens + next.finalTokens <= limitTokens -> true
            currentTokens + next.currentTokens > limitTokens -> false
            else -> peakTokens(runs + next) <= limitTokens
        }
}

/**
 * Item to be placed on an engine of [service]; null if none may run it at present. [model] is null if any engine of the
 * service will do.
 */
data class ItemDemand(
    val item: ItemState,
    val service: ServiceId?,
    val model: ModelId?,
)

data class Assignment(
    val item: ItemState,
    val engine: TargetId,
)

data class PlacementConfig(
    /** Tokens per stream event. Engines send 63 to 83; estimates of the output length vary more than that. */
    val tokensPerEvent: Int = 63,
    /** Time between events assumed for an engine without measurements. */
    val defaultMsPerEvent: Double = 40.0,
    /** Cost of placing an item on a full rather than an empty engine; batching slows engines by a few percent only. */
    val fullEnginePenaltyMs: Double = 250.0,
    /** Cost of using one of the few starts of a cold engine while a warm one has a free slot. */
    val coldEnginePenaltyMs: Double = 500.0,
    /** Share of the memory that the expected peak may use; the rest absorbs runs that exceed their estimates. */
    val maxMemoryShare: Double = 0.85,
    /** Speed ratio of the new to the current engine above which an item moves. */
    val minMoveSpeedup: Double = 1.7,
    /** Time that a move must save; a move costs a new connection and prompt processing, and estimates are noisy. */
    val minMoveGainMs: Double = 500.0,
    /** Time for which an item waits for the software version that began its text; generating it anew takes longer. */
    val maxWaitMs: Long = 600,
    /** A run with less time left than this stays on an engine that starts to load weights. */
    val minRemainingMsToLeaveLoading: Double = 300.0,
)

/**
 * Order in which waiting items are placed: earliest due batch first; within a batch, longest expected remaining output
 * first, since the longest items determine the duration of a step. Equally long items keep their order in the batch,
 * in which groups that are carried over from an earlier step come first: the trainer waits for those in any case.
 */
fun dispatchOrder(
    demands: List<ItemDemand>,
    config: PlacementConfig = PlacementConfig(),
): List<ItemDemand> =
    demands.sortedWith(
        compareBy<ItemDemand> { it.item.batch.record.dueAtMs }
            .thenBy { it.item.batch.id.value }
            .thenByDescending { it.item.expectedRemainingTokens(config.tokensPerEvent) }
            .thenBy { it.item.position },
    )

/** Assigns as many of [demands] as the [engines] have capacity for, in [dispatchOrder]. */
fun placeItems(
    demands: List<ItemDemand>,
    engines: List<EngineView>,
    config: PlacementConfig = PlacementConfig(),
): List<Assignment> {
    val available = engines.filter { it.hasFreeSlot }.associateByTo(LinkedHashMap()) { it.id }
    if (available.isEmpty()) return emptyList()
    val placed = ArrayList<Assignment>()
    for (demand in dispatchOrder(demands, config)) {
        if (available.isEmpty()) break
        bestEngine(demand, available.values, config)?.let { best ->
            placed += Assignment(demand.item, best.id)
            val updated =
                best.copy(
                    runs = best.runs + demand.item.memoryEstimate(config),
                    startsAllowed = best.startsAllowed - 1,
                )
            if (updated.hasFreeSlot) available[best.id] = updated else available.remove(best.id)
        }
    }
    return placed
}

/**
 * Engine to which the item that runs on [current] should move; null if the item should stay. Items move off engines
 * that have become slow and off engines that load weights, where runs are paused.
 */
fun betterEngine(
    demand: ItemDemand,
    current: EngineView,
    engines: List<EngineView>,
    config: PlacementConfig = PlacementConfig(),
): EngineView? {
    // The few starts of cold engines are for items that wait.
    val best = bestEngine(demand, engines.filter { it.id != current.id && !it.isCold }, config) ?: return null
    val eventsLeft = demand.item.expectedRemainingTokens(config.tokensPerEvent) / config.tokensPerEvent.toDouble()
    val bestMsPerEvent = best.msPerEvent ?: config.defaultMsPerEvent
    if (current.isLoading) return best.takeIf { eventsLeft * bestMsPerEvent > config.minRemainingMsToLeaveLoading }
    val currentMsPerEvent = current.msPerEvent ?: return null
    val gainMs = eventsLeft * (currentMsPerEvent - bestMsPerEvent)
    return best.takeIf { currentMsPerEvent > bestMsPerEvent * config.minMoveSpeedup && gainMs > config.minMoveGainMs }
}

fun ItemState.memoryEstimate(config: PlacementConfig) =
    MemoryEstimate(
        currentTokens = spec.promptTokens + progress.size * config.tokensPerEvent,
        remainingTokens = expectedRemainingTokens(config.tokensPerEvent),
    )

private fun bestEngine(
    demand: ItemDemand,
    engines: kotlin.collections.Collection<EngineView>,
    config: PlacementConfig,
): EngineView? {
    val next = demand.item.memoryEstimate(config)
    val eligible = engines.filter { it.fitsTextOf(demand.item) && it.canTake(demand, next, config) }
    val preferred = eligible.filter { it.id !in demand.item.avoidedEngines }.ifEmpty { eligible }
    return preferred.minByOrNull { it.costMs(demand, config) }
}

private fun EngineView.canTake(
    demand: ItemDemand,
    next: MemoryEstimate,
    config: PlacementConfig,
): Boolean {
    if (!hasFreeSlot || service != demand.service) return false
    val version = demand.model?.let { versions[it] }
    if (demand.model != null && (version == null || version < demand.item.batch.record.minVersion)) return false
    return running == 0 || memoryTokens == 0 || fits(next, memoryTokens * config.maxMemoryShare)
}

private fun EngineView.fitsTextOf(item: ItemState) = item.progress.size == 0 || item.progress.software == software

/**
 * Items of [demands] whose texts should be discarded, so that other software versions can generate them anew: no engine
 * has the version that began the text, or those that have it could not take the item for [PlacementConfig.maxWaitMs]
 * while another engine could.
 */
fun itemsToRestart(
    demands: List<ItemDemand>,
    engines: List<EngineView>,
    nowMs: Long,
    config: PlacementConfig = PlacementConfig(),
): List<ItemState> =
    demands
        .filter { demand ->
            val next = demand.item.memoryEstimate(config)
            val (same, others) =
                engines.filter { it.service == demand.service }.partition {
                    it.fitsTextOf(
                        demand.item,
                    )
                }
            val isOverdue = nowMs - demand.item.waitingSinceMs >= config.maxWaitMs
            when {
                others.isEmpty() -> false
                same.isEmpty() -> true
                else ->
                    isOverdue && same.none { it.canTake(demand, next, config) } &&
                        others.any { it.canTake(demand, next, config) }
            }
        }.map { it.item }

private fun EngineView.costMs(
    demand: ItemDemand,
    config: PlacementConfig,
): Double {
    val eventsLeft = demand.item.expectedRemainingTokens(config.tokensPerEvent) / config.tokensPerEvent.toDouble()
    val coldPenaltyMs = if (isCold) config.coldEnginePenaltyMs else 0.0
    val usedPenaltyMs = config.fullEnginePenaltyMs * running / slots
    return eventsLeft * (msPerEvent ?: config.defaultMsPerEvent) + usedPenaltyMs + coldPenaltyMs
}
