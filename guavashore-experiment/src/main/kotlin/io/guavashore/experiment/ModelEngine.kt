/*
 * Engine of the step experiment: tokens by ticks, a cache of prefixes, a queue inside, swaps and crashes.
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

/** One attempt at a sample. */
internal class ModelJob(
    val sample: SampleId,
    val group: GroupId,
    val length: Int,
    var produced: Int = 0,
    var spans: List<TokenSpan> = emptyList(),
) {
    /** Tokens taken over from the attempt that this one is to overtake. */
    var copied = 0
    var startedAtTick = 0L
    var prefillTicks = 0
    var progress = 0.0
}

/** Engine; [speed] is tokens per tick and sequence. */
internal class ModelEngine(
    index: Int,
    private val speed: Double,
) {
    private val cached = ArrayDeque<GroupId>()
    val jobs = ArrayList<ModelJob>()
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

    fun start(job: ModelJob) {
        job.prefillTicks = if (job.group in cached) HIT_TICKS else MISS_TICKS
        cached.remove(job.group)
        cached.addLast(job.group)
        if (cached.size > CACHED_GROUPS) cached.removeFirst()
        jobs += job
    }

    /** Advances by one tick; returns the jobs that are done. */
    fun tick(nowTick: Long): List<ModelJob> {
        if (nowTick < blockedUntilTick) return emptyList()
        jobs.take(SLOTS).forEach(::advance)
        val done = jobs.filter { it.produced >= it.length }
        jobs.removeAll(done)
        return done
    }

    private fun advance(job: ModelJob) {
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

    /** Loses all jobs and the cache; returns the jobs. */
    fun crash(untilTick: Long): List<ModelJob> {
        blockedUntilTick = untilTick
        cached.clear()
        return jobs.toList().also { jobs.clear() }
    }

    companion object {
        const val SLOTS = 16
        private const val HIT_TICKS = 1
        private const val MISS_TICKS = 20
        private const val CACHED_GROUPS = 12
    }
}
