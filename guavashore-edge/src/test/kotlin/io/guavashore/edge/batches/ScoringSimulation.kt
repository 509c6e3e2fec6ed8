/*
 * Seeded simulation of score calls and direct requests on the targets of one service, with a virtual clock.
 */
package io.guavashore.edge.batches

import io.guavashore.api.ServiceId
import io.guavashore.api.TargetId
import kotlin.math.exp
import kotlin.random.Random
import kotlin.random.asJavaRandom

/**
 * One simulation under [config].
 *
 * @param firstCome true to bypass the placement policy: calls are sent as texts are completed, to the target with the
 *   fewest score calls
 */
internal class ScoringSimulation(
    seed: Int,
    private val config: ScorePlacementConfig,
    private val firstCome: Boolean = false,
) {
    /**
     * @property directInObjective share of direct requests that were answered within the latency objective
     * @property groupWaitMs average time from the completion of a group's last text to its last score
     */
    class Outcome(
        val directInObjective: Double,
        val groupWaitMs: Double,
    )

    /** Request on a target; [workMs] is its duration on an idle target, [item] is null for a direct request. */
    private class Job(
        val workMs: Double,
        val startedMs: Int,
        val item: ItemState? = null,
    ) {
        var doneMs = 0.0
    }

    private inner class Target(
        val id: TargetId,
    ) {
        val jobs = ArrayList<Job>()
        var speed = 1.0

        fun view() =
            jobs.count { it.item != null }.let { ownCalls ->
                ScoringTargetView(id, SERVICE, SLOTS, ownCalls, jobs.size - ownCalls, typicalMs = pace.of(id))
            }

        /** Processes the jobs that have a slot for one tick; returns those that are done. */
        fun processTick(): List<Job> {
            val running = jobs.take(SLOTS)
            val slowdown = 1 + running.size / (2.0 * SLOTS)
            running.forEach { it.doneMs += TICK_MS * speed / slowdown }
            return running.filter { it.doneMs >= it.workMs }.also { jobs.removeAll(it) }
        }
    }

    private val random = Random(seed)
    private val pace = EnginePace()
    private val targets = List(TARGETS) { Target(TargetId("t$it")) }
    private val steps = List(STEPS * TRAINERS) { index -> step(index / TRAINERS, index % TRAINERS) }
    private val textCompleteAtMs = HashMap<ItemState, Int>()
    private val unscored = LinkedHashSet<ItemState>()
    private val scoredAtMs = HashMap<ItemState, Int>()
    private var directRequests = 0
    private var directInObjective = 0

    fun run(): Outcome {
        steps.forEach(::drawCompletionTimes)
        val lastMs = textCompleteAtMs.values.max() + DRAIN_MS
        for (nowMs in 0..lastMs step TICK_MS) tick(nowMs)
        val groups = steps.flatMap { batch -> batch.items.groupBy { it.group }.values }
        val waitMs =
            groups.map { items ->
                items.maxOf { scoredAtMs.getValue(it) } -
                    items.maxOf { textCompleteAtMs.getValue(it) }
            }
        return Outcome(directInObjective / directRequests.toDouble(), waitMs.average())
    }

    private fun step(
        number: Int,
        trainer: Int,
    ): BatchState {
        val submittedMs = number * STEP_INTERVAL_MS + trainer * STEP_INTERVAL_MS / TRAINERS
        val items = List(GROUPS * GROUP_SIZE) { itemSpec("s$number-$trainer-$it", group = "g${it / GROUP_SIZE}") }
        return batch("b$number-$trainer", items, dueAtMs = submittedMs + DUE_MS.toLong())
    }

    private fun drawCompletionTimes(batch: BatchState) {
        val submittedMs = batch.record.dueAtMs.toInt() - DUE_MS
        val burstMs = submittedMs + MIN_TEXT_MS + random.nextInt(TEXT_SPREAD_MS)
        batch.items.groupBy { it.group }.values.forEachIndexed { index, items ->
            val isTypical = index % LONG_GROUP_INTERVAL != 0
            val endMs = if (isTypical) burstMs + random.nextInt(BURST_MS) else burstMs + random.nextInt(TEXT_SPREAD_MS)
            items.forEach { textCompleteAtMs[it] = endMs + random.nextInt(GROUP_SPREAD_MS) }
        }
    }

    private fun tick(nowMs: Int) {
        targets[0].speed = if (nowMs in SLOW_FROM_MS..SLOW_FROM_MS + 4_000) 0.25 else 1.0
        targets[1].speed = if (nowMs in UNRESPONSIVE_FROM_MS..UNRESPONSIVE_FROM_MS + 3_000) 0.0 else 1.0
        targets.forEach { target -> target.processTick().forEach { onJobDone(it, target, nowMs) } }
        textCompleteAtMs
            .filterValues { it in nowMs until nowMs + TICK_MS }
            .keys
            .sortedBy { textCompleteAtMs[it] }
            .forEach { onTextComplete(it) }
        if (random.nextDouble() < DIRECT_PER_S * TICK_MS / 1_000.0) directRequest(nowMs)
        if (firstCome) sendFirstCome(nowMs) else placeByPolicy(nowMs)
    }

    private fun onTextComplete(item: ItemState) {
        item.progress.add(TextEvent(1, "text", version = 1))
        item.batch.complete(item, textCompleteAtMs.getValue(item).toLong())
        unscored += item
    }

    private fun onJobDone(
        job: Job,
        target: Target,
        nowMs: Int,
    ) {
        if (job.item == null) {
            if (nowMs - job.startedMs <= OBJECTIVE_MS) directInObjective++
            return
        }
        pace.record(target.id, (nowMs - job.startedMs).toDouble())
        scoredAtMs.putIfAbsent(job.item, nowMs)
        unscored -= job.item
        targets.forEach { other -> other.jobs.removeAll { it.item === job.item } }
    }

    /** Sends a direct request to the least busy target, as the VM that receives the request does by reported loads. */
    private fun directRequest(nowMs: Int) {
        directRequests++
        targets.minBy { it.jobs.size }.jobs += Job(DIRECT_WORK_MS, nowMs)
    }

    private fun placeByPolicy(nowMs: Int) {
        val running =
            targets.flatMap { target ->
                target.jobs.mapNotNull { job -> job.item?.let { it to (target to job) } }
            }
        val byItem = running.groupBy({ it.first }, { it.second })
        val demands =
            unscored.mapNotNull { item ->
                val calls = byItem[item].orEmpty()
                ScoreDemand(
                    item = item,
                    services = setOf(SERVICE),
                    tried = calls.mapTo(HashSet()) { it.first.id },
                    runningForMs = calls.firstOrNull()?.let { (nowMs - it.second.startedMs).toLong() },
                ).takeIf { calls.size < 2 }
            }
        placeScores(demands, targets.map { it.view() }, config).forEach { assignment ->
            targets.first { it.id == assignment.target }.jobs += Job(scoreWorkMs(), nowMs, assignment.item)
        }
    }

    private fun sendFirstCome(nowMs: Int) {
        val sent = targets.flatMapTo(HashSet()) { target -> target.jobs.mapNotNull { it.item } }
        unscored.filter { it !in sent }.forEach { item ->
            targets.minBy { target -> target.jobs.count { it.item != null } }.jobs += Job(scoreWorkMs(), nowMs, item)
        }
    }

    /** Draws the duration of a score call; log-normal with a mean of 229 ms. */
    private fun scoreWorkMs(): Double = SCORE_MEDIAN_MS * exp(SCORE_SIGMA * random.asJavaRandom().nextGaussian())

    private companion object {
        val SERVICE = ServiceId("scores")
        const val TICK_MS = 5
        const val TARGETS = 4
        const val SLOTS = 6
        const val TRAINERS = 3
        const val STEPS = 5
        const val STEP_INTERVAL_MS = 4_000
        const val DUE_MS = 7_500
        const val GROUPS = 8
        const val GROUP_SIZE = 4
        const val LONG_GROUP_INTERVAL = 4
        const val MIN_TEXT_MS = 1_500
        const val TEXT_SPREAD_MS = 3_000
        const val BURST_MS = 250
        const val GROUP_SPREAD_MS = 60
        const val SLOW_FROM_MS = 6_000
        const val UNRESPONSIVE_FROM_MS = 12_000
        const val DRAIN_MS = 6_000
        const val DIRECT_PER_S = 10.0
        const val DIRECT_WORK_MS = 28.6
        const val OBJECTIVE_MS = 162
        const val SCORE_MEDIAN_MS = 191.0
        const val SCORE_SIGMA = 0.6
    }
}
