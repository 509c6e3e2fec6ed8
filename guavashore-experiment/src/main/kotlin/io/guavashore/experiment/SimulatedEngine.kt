/*
 * Simulated engine of the step experiment: produces tokens per tick and has a prefix cache, an internal queue, weight
 * swaps and crashes.
 */
package io.guavashore.experiment

import io.guavashore.api.Endpoint
import io.guavashore.api.GroupId
import io.guavashore.api.PoolId
import io.guavashore.api.SampleId
import io.guavashore.api.Target
import io.guavashore.api.TargetId
import io.guavashore.api.TargetKind
import io.guavashore.api.TargetStage
import io.guavashore.api.TeamId
import io.guavashore.api.TokenSpan
import io.guavashore.api.WeightVersion
import io.guavashore.api.ZoneId
import io.guavashore.api.plusTokens

/** One attempt at generating a sample of [length] tokens. */
internal class EngineJob(
    val sample: SampleId,
    val group: GroupId,
    val length: Int,
    var produced: Int = 0,
    var spans: List<TokenSpan> = emptyList(),
) {
    /** Tokens copied from the slower attempt that this attempt duplicates. */
    var inheritedTokens = 0
    var startedAtTick = 0L
    var prefillTicks = 0

    /** Tokens generated but not yet counted in [produced], usually a fraction. */
    var progress = 0.0
}

/** Engine that generates [speed] tokens per tick for each running sequence. */
internal class SimulatedEngine(
    index: Int,
    private val speed: Double,
) {
    private val cachedPrefixes = ArrayDeque<GroupId>()
    val jobs = ArrayList<EngineJob>()
    var version = WeightVersion(1)
    var blockedUntilTick = 0L

    val target =
        Target(
            id = TargetId("engine-$index"),
            team = TeamId("t"),
            pool = PoolId("p"),
            kind = TargetKind.MODEL,
            zone = ZoneId("a"),
            endpoint = Endpoint("127.0.0.1", index),
            slots = SLOTS,
            stage = TargetStage.SERVING,
        )

    fun start(job: EngineJob) {
        job.prefillTicks = if (job.group in cachedPrefixes) CACHE_HIT_TICKS else CACHE_MISS_TICKS
        cachedPrefixes.remove(job.group)
        cachedPrefixes.addLast(job.group)
        if (cachedPrefixes.size > MAX_CACHED_GROUPS) cachedPrefixes.removeFirst()
        jobs += job
    }

    /** Advances by one tick; returns the jobs that finished. */
    fun tick(nowTick: Long): List<EngineJob> {
        if (nowTick < blockedUntilTick) return emptyList()
        jobs.take(SLOTS).forEach(::advance)
        val done = jobs.filter { it.produced >= it.length }
        jobs.removeAll(done)
        return done
    }

    private fun advance(job: EngineJob) {
        if (job.prefillTicks > 0) {
            job.prefillTicks--
            return
        }
        job.progress += speed
        val tokens = minOf(job.progress.toInt(), job.length - job.produced)
        if (tokens == 0) return
        job.progress -= tokens
        job.produced += tokens
        job.spans = job.spans.plusTokens(version, tokens)
    }

    /** Drops all jobs and the prefix cache and blocks the engine until [untilTick]; returns the dropped jobs. */
    fun crash(untilTick: Long): List<EngineJob> {
        blockedUntilTick = untilTick
        cachedPrefixes.clear()
        return jobs.toList().also { jobs.clear() }
    }

    companion object {
        const val SLOTS = 16
        private const val CACHE_HIT_TICKS = 1
        private const val CACHE_MISS_TICKS = 20
        private const val MAX_CACHED_GROUPS = 12
    }
}
