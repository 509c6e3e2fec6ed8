/*
 * Runs score calls for complete texts: places them, handles their outcomes, and gives up items that can't be scored.
 */
package io.guavashore.edge.batches

import io.github.oshai.kotlinlogging.KotlinLogging
import io.guavashore.api.MonotonicClock
import io.guavashore.api.TargetId
import io.guavashore.api.WallClock
import io.guavashore.edge.declared.EdgeDeclaration
import io.guavashore.edge.declared.Route
import io.guavashore.edge.declared.RouteKind
import io.guavashore.edge.declared.TargetEntry
import io.guavashore.edge.forward.TargetLoads
import io.guavashore.edge.limits.PermitSource
import io.guavashore.edge.targets.ReceivedResponse
import io.guavashore.edge.targets.TargetDirectory
import io.guavashore.edge.targets.logFields
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch

private val log = KotlinLogging.logger {}

/** State of the scoring targets; [directory] and [loads] are shared with the other request paths of the VM. */
class ScoringTargets(
    val directory: TargetDirectory,
    val loads: TargetLoads,
    /** Average duration of a score call per target; each completed call counts as one event. */
    val pace: EnginePace = EnginePace(),
)

/**
 * Sends score calls in [scope], which is cancelled when this VM stops being the coordinator.
 *
 * @param wake makes the runner take another step
 * @param mayRun whether score calls for a batch may be sent now
 */
class ScoreDispatcher(
    private val scope: CoroutineScope,
    private val call: ScoreCall,
    private val targets: ScoringTargets,
    private val clock: MonotonicClock,
    private val wallClock: WallClock,
    private val wake: () -> Unit,
    private val mayRun: (BatchState) -> Boolean,
    private val permits: PermitSource = PermitSource.UNLIMITED,
    private val config: ScorePlacementConfig = ScorePlacementConfig(),
) {
    private class Run(
        val target: TargetId,
        val startedMs: Long,
        var job: Job? = null,
    ) {
        /** Response from which the outcome was taken; null if there was none. */
        var response: ReceivedResponse? = null
    }

    /** Score calls made for one item. */
    private class Attempts {
        val running = ArrayList<Run>()
        val failedTargets = HashSet<TargetId>()
        var notBeforeMs = 0L
        var brokenCalls = 0

        /** Monotonic time after which targets drop calls for the item; repeated calls share it. */
        var deadlineMs = 0L
        var maxFailures = 0
    }

    private val attemptsByItem = HashMap<ItemState, Attempts>()
    private val fullUntilMs = HashMap<TargetId, Long>()

    /** Starts score calls for the [unscored] items as far as targets have slots; gives up items without a route. */
    fun step(
        unscored: List<ItemState>,
        declaration: EdgeDeclaration,
    ) {
        if (unscored.isEmpty()) return
        val now = clock()
        fullUntilMs.values.removeIf { it <= now }
        val demands =
            unscored.mapNotNull { item ->
                val route = scoreRoute(item, declaration)
                if (route == null) giveUpWithoutRoute(item, now)
                route?.let { demand(item, it, now) }
            }
        if (demands.isNotEmpty()) {
            placeScores(demands, views(declaration, demands), config).forEach { start(it, declaration) }
        }
    }

    /** Cancels the calls for [item], if there are any. */
    fun cancel(item: ItemState) {
        attemptsByItem.remove(item)?.running?.forEach { it.job?.cancel() }
    }

    private fun demand(
        item: ItemState,
        route: Route,
        nowMs: Long,
    ): ScoreDemand? {
        val services = route.backends.filter { it.weight > 0 }.mapTo(HashSet()) { it.service }
        val attempts = attemptsByItem[item] ?: return ScoreDemand(item, services)
        if (attempts.running.isEmpty() && nowMs < attempts.notBeforeMs) return null
        if (attempts.running.size > 1) return null
        return ScoreDemand(
            item = item,
            services = services,
            tried = attempts.failedTargets + attempts.running.map { it.target },
            runningForMs = attempts.running.firstOrNull()?.let { nowMs - it.startedMs },
        )
    }

    private fun views(
        declaration: EdgeDeclaration,
        demands: List<ScoreDemand>,
    ): List<ScoringTargetView> {
        val services = demands.flatMapTo(HashSet()) { it.services }
        val ownCalls =
            attemptsByItem.values
                .flatMap { it.running }
                .groupingBy { it.target }
                .eachCount()
        return targets.directory
            .usable()
            .filter { it.service in services && it.service in declaration.services }
            .map { view(it, ownCalls[it.id] ?: 0) }
    }

    private fun view(
        entry: TargetEntry,
        ownCalls: Int,
    ): ScoringTargetView {
        val now = clock()
        return ScoringTargetView(
            id = entry.id,
            service = entry.service,
            slots = entry.slots,
            ownCalls = ownCalls,
            otherRequests = maxOf(0, targets.loads.recentlyReported(entry.id, now) - ownCalls),
            typicalMs = targets.pace.of(entry.id),
            isUsable = now >= (fullUntilMs[entry.id] ?: 0) && !targets.directory.isSuspect(entry.id),
            startsAllowed = permits.available(entry.id),
        )
    }

    private fun start(
        assignment: ScoreAssignment,
        declaration: EdgeDeclaration,
    ) {
        val item = assignment.item
        val scorer = item.spec.scorer ?: return
        val target = targets.directory[assignment.target] ?: return
        val route = scoreRoute(item, declaration) ?: return
        val attempts = attemptsByItem.getOrPut(item) { Attempts() }
        val now = clock()
        if (attempts.deadlineMs - now < MIN_CALL_MS) attempts.deadlineMs = now + route.timeoutMs
        attempts.maxFailures = maxOf(item.batch.record.maxAttempts, route.maxAttempts)
        val timeoutMs = minOf(attempts.deadlineMs - now, item.batch.record.giveUpAtMs - wallClock())
        if (timeoutMs <= 0) return
        val permit = permits.take(target.id) ?: return
        val run = Run(target.id, now)
        attempts.running += run
        targets.loads.begin(target.id)
        run.job =
            scope.launch(start = CoroutineStart.UNDISPATCHED) {
                try {
                    val outcome =
                        call.run(scorer, target, timeoutMs, permit, mayRun = { mayRun(item.batch) }) { response ->
                            run.response = response
                        }
                    onCallEnded(item, run, outcome)
                } finally {
                    targets.loads.end(target.id)
                    attemptsByItem[item]?.running?.remove(run)
                    wake()
                }
            }
    }

    private fun onCallEnded(
        item: ItemState,
        run: Run,
        outcome: ScoreOutcome,
    ) {
        val attempts = attemptsByItem[item] ?: return
        val tookMs = clock() - run.startedMs
        log.info {
            "score call ended: item=${item.spec.id} batch=${item.batch.id} call=${item.spec.scorer?.id} " +
                "target=${run.target} outcome=$outcome ${run.response.logFields()} ms=$tookMs " +
                "waited_ms=${run.startedMs - item.textCompleteAtMs} failures=${item.scoreFailures}"
        }
        when (outcome) {
            is ScoreOutcome.Scored -> onScored(item, run, outcome.score, tookMs)
            is ScoreOutcome.Failed -> onFailed(item, attempts, run, outcome)
            is ScoreOutcome.NotRun -> {
                if (!outcome.wasOffered) targets.directory.recordFailure(run.target)
                fullUntilMs[run.target] = clock() + FULL_TARGET_RETRY_DELAY_MS
            }
            is ScoreOutcome.Broken -> {
                targets.directory.recordFailure(run.target)
                attempts.failedTargets += run.target
                attempts.notBeforeMs = clock() + (BROKEN_BACKOFF_MS shl minOf(attempts.brokenCalls++, MAX_DOUBLINGS))
            }
        }
    }

    private fun onScored(
        item: ItemState,
        run: Run,
        score: Score,
        tookMs: Long,
    ) {
        targets.directory.recordSuccess(run.target)
        targets.pace.record(run.target, tookMs.toDouble())
        // The other call has been running for at least this long, which is evidence of a slow target.
        attemptsByItem[item]?.running?.filter { it !== run }?.forEach { slower ->
            targets.pace.record(slower.target, (clock() - slower.startedMs).toDouble())
        }
        item.batch.recordScore(item, score, clock())
        cancel(item)
    }

    private fun onFailed(
        item: ItemState,
        attempts: Attempts,
        run: Run,
        outcome: ScoreOutcome.Failed,
    ) {
        item.scoreFailures++
        attempts.failedTargets += run.target
        if (item.scoreFailures < attempts.maxFailures) return
        giveUp(item, "score call failed ${item.scoreFailures} times, last with status ${outcome.status}")
    }

    /** Gives up [item] after a grace period, since the route may only be missing from an outdated declaration. */
    private fun giveUpWithoutRoute(
        item: ItemState,
        nowMs: Long,
    ) {
        if (nowMs - item.textCompleteAtMs < ROUTE_GRACE_MS) return
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
        /** A full target frees a slot within about this time, the duration of one short call. */
        const val FULL_TARGET_RETRY_DELAY_MS = 60L

        /** Base delay before the next score call for an item after a broken one; doubles each time, up to 1.6 s. */
        const val BROKEN_BACKOFF_MS = 50L
        const val MAX_DOUBLINGS = 5

        /** A call with less time left would not get a response in time, so the item gets a new deadline. */
        const val MIN_CALL_MS = 500L

        /** A new declaration reaches all VMs within about this time. */
        const val ROUTE_GRACE_MS = 3_000L
    }
}

/** Route of the score call of [item] under [declaration]; null if there is none whose requests may be repeated. */
internal fun scoreRoute(
    item: ItemState,
    declaration: EdgeDeclaration,
): Route? =
    item.spec.scorer
        ?.let { declaration.route(it.host, it.path) }
        ?.takeIf { it.kind == RouteKind.SAFE }
