/*
 * Has whole texts scored: places what waits, takes in how calls end, and gives items up that can't be scored.
 */
package io.guavashore.edge.batches

import io.github.oshai.kotlinlogging.KotlinLogging
import io.guavashore.api.MonotonicClock
import io.guavashore.api.TargetId
import io.guavashore.api.WallClock
import io.guavashore.edge.declared.Route
import io.guavashore.edge.declared.RouteKind
import io.guavashore.edge.declared.EdgeDeclaration
import io.guavashore.edge.declared.TargetEntry
import io.guavashore.edge.forward.TargetLoads
import io.guavashore.edge.targets.TargetDirectory
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch

private val log = KotlinLogging.logger {}

/** What the dispatcher knows of the scoring targets, shared with the rest of the VM. */
class ScoringTargets(
    val directory: TargetDirectory,
    val loads: TargetLoads,
    /** Time of a score call at each target; an answered call counts as one event. */
    val pace: EnginePace = EnginePace(),
)

/** Score calls of one coordinator's term; they end with [scope]. [wake] has the runner look at its batches. */
class ScoreDispatcher(
    private val scope: CoroutineScope,
    private val call: ScoreCall,
    private val targets: ScoringTargets,
    private val clock: MonotonicClock,
    private val wallClock: WallClock,
    private val wake: () -> Unit,
    private val terms: ScoreTerms = ScoreTerms(),
) {
    private class Run(
        val target: TargetId,
        val startedMs: Long,
        var job: Job? = null,
    )

    /** What has been tried for one item. */
    private class Attempts {
        val running = ArrayList<Run>()
        val failedAt = HashSet<TargetId>()
        var notBeforeMs = 0L
        var broken = 0

        /** Time by which targets drop calls for the item; repeated calls share it. */
        var deadlineMs = 0L
        var mostFailures = 0
    }

    private val attempts = HashMap<ItemState, Attempts>()
    private val fullUntilMs = HashMap<TargetId, Long>()

    /** Starts what can start; gives up [unscored] items that have no way to be scored. */
    fun step(
        unscored: List<ItemState>,
        map: EdgeDeclaration,
    ) {
        if (unscored.isEmpty()) return
        val now = clock()
        fullUntilMs.values.removeIf { it <= now }
        val demands =
            unscored.mapNotNull { item ->
                val route = scoreRoute(item, map)
                if (route == null) giveUpWithoutRoute(item, now)
                route?.let { demand(item, it, now) }
            }
        if (demands.isNotEmpty()) placeScores(demands, views(map, demands), terms).forEach { start(it, map) }
    }

    /** Ends the calls for [item], if there are any. */
    fun cancel(item: ItemState) {
        attempts.remove(item)?.running?.forEach { it.job?.cancel() }
    }

    private fun demand(
        item: ItemState,
        route: Route,
        nowMs: Long,
    ): ScoreDemand? {
        val services = route.backends.filter { it.weight > 0 }.mapTo(HashSet()) { it.service }
        val known = attempts[item] ?: return ScoreDemand(item, services)
        if (known.running.isEmpty() && nowMs < known.notBeforeMs) return null
        if (known.running.size > 1) return null
        return ScoreDemand(
            item = item,
            services = services,
            tried = known.failedAt + known.running.map { it.target },
            runningForMs = known.running.firstOrNull()?.let { nowMs - it.startedMs },
        )
    }

    private fun views(
        map: EdgeDeclaration,
        demands: List<ScoreDemand>,
    ): List<ScorerView> {
        val services = demands.flatMapTo(HashSet()) { it.services }
        val own =
            attempts.values
                .flatMap { it.running }
                .groupingBy { it.target }
                .eachCount()
        return targets.directory
            .usable()
            .filter { it.service in services && it.service in map.services }
            .map { view(it, own[it.id] ?: 0) }
    }

    private fun view(
        entry: TargetEntry,
        own: Int,
    ): ScorerView {
        val now = clock()
        return ScorerView(
            id = entry.id,
            service = entry.service,
            slots = entry.slots,
            own = own,
            others = maxOf(0, targets.loads.recentlyReported(entry.id, now) - own),
            usualMs = targets.pace.of(entry.id),
            isUsable = now >= (fullUntilMs[entry.id] ?: 0) && !targets.directory.isSuspect(entry.id),
        )
    }

    private fun start(
        assignment: ScoreAssignment,
        map: EdgeDeclaration,
    ) {
        val item = assignment.item
        val scorer = item.spec.scorer ?: return
        val target = targets.directory[assignment.target] ?: return
        val route = scoreRoute(item, map) ?: return
        val known = attempts.getOrPut(item) { Attempts() }
        val now = clock()
        if (known.deadlineMs - now < LEAST_CALL_MS) known.deadlineMs = now + route.timeoutMs
        known.mostFailures = maxOf(item.batch.record.maxAttempts, route.maxAttempts)
        val timeMs = minOf(known.deadlineMs - now, item.batch.record.giveUpAtMs - wallClock())
        if (timeMs <= 0) return
        val run = Run(target.id, now)
        known.running += run
        targets.loads.begin(target.id)
        run.job =
            scope.launch(start = CoroutineStart.UNDISPATCHED) {
                try {
                    finished(item, run, call.run(scorer, target, timeMs))
                } finally {
                    targets.loads.end(target.id)
                    attempts[item]?.running?.remove(run)
                    wake()
                }
            }
    }

    private fun finished(
        item: ItemState,
        run: Run,
        outcome: ScoreOutcome,
    ) {
        val known = attempts[item] ?: return
        val tookMs = clock() - run.startedMs
        log.info {
            "score call ended: item=${item.spec.id} batch=${item.batch.id} call=${item.spec.scorer?.id} " +
                "target=${run.target} outcome=$outcome ms=$tookMs waited_ms=${run.startedMs - item.wholeAtMs} " +
                "failures=${item.scoreFailures}"
        }
        when (outcome) {
            is ScoreOutcome.Scored -> scored(item, run, outcome.score, tookMs)
            is ScoreOutcome.Failed -> recordFailure(item, known, run, outcome)
            is ScoreOutcome.NotRun -> {
                if (!outcome.wasOffered) targets.directory.recordFailure(run.target)
                fullUntilMs[run.target] = clock() + FULL_PAUSE_MS
            }
            is ScoreOutcome.Broken -> {
                targets.directory.recordFailure(run.target)
                known.failedAt += run.target
                known.notBeforeMs = clock() + (BROKEN_PAUSE_MS shl minOf(known.broken++, MOST_DOUBLINGS))
            }
        }
    }

    private fun scored(
        item: ItemState,
        run: Run,
        score: Score,
        tookMs: Long,
    ) {
        targets.directory.recordSuccess(run.target)
        targets.pace.record(run.target, tookMs.toDouble())
        // The other call has taken at least this long; its target may be slow.
        attempts[item]?.running?.filter { it !== run }?.forEach { slower ->
            targets.pace.record(slower.target, (clock() - slower.startedMs).toDouble())
        }
        item.batch.scored(item, score, clock())
        cancel(item)
    }

    private fun recordFailure(
        item: ItemState,
        known: Attempts,
        run: Run,
        outcome: ScoreOutcome.Failed,
    ) {
        item.scoreFailures++
        known.failedAt += run.target
        if (item.scoreFailures < known.mostFailures) return
        giveUp(item, "score call failed ${item.scoreFailures} times, last with status ${outcome.status}")
    }

    /** A route may be missing because this VM's declaration is a little old. */
    private fun giveUpWithoutRoute(
        item: ItemState,
        nowMs: Long,
    ) {
        if (nowMs - item.wholeAtMs < ROUTE_GRACE_MS) return
        giveUp(item, "no route for score calls to host ${item.spec.scorer?.host} path ${item.spec.scorer?.path}")
    }

    private fun giveUp(
        item: ItemState,
        reason: String,
    ) {
        log.warn { "item given up: item=${item.spec.id} batch=${item.batch.id} reason=$reason" }
        cancel(item)
        item.batch.settle(item, ItemOutcome.GIVEN_UP, clock())
    }

    private companion object {
        /** A full target frees a slot within about one short call. */
        const val FULL_PAUSE_MS = 60L

        /** Pause before an item is tried again after an answer that broke off; doubles up to 1.6 s. */
        const val BROKEN_PAUSE_MS = 50L
        const val MOST_DOUBLINGS = 5

        /** A call with less time than this left could not be answered; it gets a new deadline. */
        const val LEAST_CALL_MS = 500L

        /** All VMs know a new declaration within about this time. */
        const val ROUTE_GRACE_MS = 3_000L
    }
}

/** Route by which the text of [item] is scored under [map]; null if there is none of a kind that may be repeated. */
internal fun scoreRoute(
    item: ItemState,
    map: EdgeDeclaration,
): Route? =
    item.spec.scorer
        ?.let { map.route(it.host, it.path) }
        ?.takeIf { it.kind == RouteKind.SAFE }
