/*
 * Simulates the steps of a trainer under a policy: the production code of [StepState] and [pickTarget] with simulated
 * engines on virtual time. One engine is slow, engines crash, and new weights are published after each step.
 */
package io.guavashore.experiment

import com.github.michaelbull.result.get
import io.guavashore.api.Generation
import io.guavashore.api.GroupId
import io.guavashore.api.SampleId
import io.guavashore.api.StepId
import io.guavashore.api.TrainerId
import io.guavashore.api.WeightVersion
import io.guavashore.api.ZoneId
import io.guavashore.routing.Candidate
import io.guavashore.routing.PickRequest
import io.guavashore.routing.TargetSpeeds
import io.guavashore.routing.pickTarget
import io.guavashore.samples.GroupRequest
import io.guavashore.samples.PullRequest
import io.guavashore.samples.StepRequest
import io.guavashore.samples.StepState
import kotlinx.serialization.Serializable
import kotlin.math.exp
import kotlin.random.Random
import kotlin.random.asJavaRandom

/** Results of one policy and seed; [idleShare] is the share of time in which the trainer waits for samples. */
@Serializable
data class StepFigures(
    val policy: String,
    val seed: Int,
    val idleShare: Double,
    val meanStepMs: Double,
    val wastedTokenShare: Double,
    val stalenessP50: Long,
    val stalenessP99: Long,
    val samplesDelivered: Int,
    val duplicateSamples: Int,
)

/** One simulation of [steps] steps. */
internal class StepExperiment(
    private val policy: StepPolicy,
    private val seed: Int,
    private val steps: Int = 30,
) {
    private val random = Random(seed)
    private val engines = List(ENGINES) { SimulatedEngine(it, speed = if (it == 0) SLOW_SPEED else 1.0) }
    private val speeds = TargetSpeeds()
    private val delivered = HashSet<String>()
    private val staleness = ArrayList<Long>()
    private var duplicates = 0
    private var tick = 0L
    private var nextEngineIndex = 0
    private var usefulTokens = 0L
    private var wastedTokens = 0L
    private var version = WeightVersion(1)
    private val interrupted = ArrayDeque<EngineJob>()

    /** Runs all steps. The next step is generated while the trainer trains on the current one. */
    fun run(): StepFigures {
        var idleTicks = 0L
        var trainedAtTick = 0L
        var stepTicks = 0L
        repeat(steps) { number ->
            val startedAtTick = tick
            runStep(number, publishAtTick = trainedAtTick)
            stepTicks += tick - startedAtTick
            idleTicks += maxOf(0, tick - trainedAtTick)
            if (version.value <= number) publishWeights()
            trainedAtTick = maxOf(tick, trainedAtTick) + TRAIN_TICKS
        }
        staleness.sort()
        return StepFigures(
            policy = policy.name,
            seed = seed,
            idleShare = idleTicks.toDouble() / trainedAtTick,
            meanStepMs = stepTicks.toDouble() * TICK_MS / steps,
            wastedTokenShare = wastedTokens.toDouble() / (wastedTokens + usefulTokens),
            stalenessP50 = staleness[staleness.size / 2],
            stalenessP99 = staleness[(staleness.size - 1) * P99 / PERCENT],
            samplesDelivered = delivered.size,
            duplicateSamples = duplicates,
        )
    }

    private fun runStep(
        number: Int,
        publishAtTick: Long,
    ) {
        val groups = List(GROUPS) { GroupRequest(GroupId("s$number-g$it"), listOf(1), GROUP_SIZE, MAX_TOKENS) }
        val request = StepRequest(StepId("s$number"), 1, 0, version, groups)
        val step =
            StepState(TrainerId("t"), request, maxStalenessVersions = 2, nowMs = nowMs(), policy.stragglerConfig())
        val received = HashSet<GroupId>()
        while (!step.isComplete()) {
            advance(step)
            if (tick == publishAtTick) publishWeights()
            val response = step.pull(PullRequest(1, version, received.toSet()), nowMs()).get() ?: continue
            response.groups.filter { received.add(it.id) }.flatMap { it.samples }.forEach { sample ->
                if (!delivered.add(sample.id.value)) duplicates++
                staleness += version.value - sample.spans.minOf { it.version.value }
                usefulTokens += sample.tokens.size
            }
        }
        wastedTokens += step.status(nowMs()).wastedTokens
    }

    private fun advance(step: StepState) {
        tick++
        if (random.nextDouble() < CRASH_PROBABILITY_PER_TICK) crash()
        startWork(step)
        engines.forEach { engine -> engine.tick(tick).forEach { finish(step, engine, it) } }
    }

    private fun startWork(step: StepState) {
        repeat(interrupted.size) {
            val job = interrupted.removeFirst()
            if (!tryPlace(job)) interrupted.addLast(job)
        }
        while (
            policy.roundRobin || engines.any { it.jobs.size < SimulatedEngine.SLOTS && tick >= it.blockedUntilTick }
        ) {
            val work = step.nextWork(nowMs(), ::speedOf) ?: return
            val job = duplicateAttempt(work.sample) ?: EngineJob(work.sample, work.group, lengthOf(work.sample))
            if (!tryPlace(job)) interrupted.addLast(job)
        }
    }

    /** Duplicate of a straggler's attempt that continues from its tokens so far; null if no attempt is running. */
    private fun duplicateAttempt(sample: SampleId): EngineJob? {
        val first = engines.flatMap { it.jobs }.firstOrNull { it.sample == sample } ?: return null
        return EngineJob(sample, first.group, first.length, first.produced, first.spans).also {
            it.inheritedTokens =
                first.produced
        }
    }

    private fun speedOf(sample: SampleId): Double {
        val engine = engines.firstOrNull { engine -> engine.jobs.any { it.sample == sample } }
        return engine?.let { speeds.known(it.target.id) } ?: UNKNOWN_SPEED
    }

    private fun tryPlace(job: EngineJob): Boolean {
        val engine = if (policy.roundRobin) nextRoundRobin() else pickEngine(job)
        job.startedAtTick = tick
        engine?.start(job)
        return engine != null
    }

    private fun nextRoundRobin() = engines[nextEngineIndex++ % engines.size]

    private fun pickEngine(job: EngineJob): SimulatedEngine? {
        val candidates = engines.map(::candidate)
        val exclude =
            engines
                .filter { engine ->
                    engine.jobs.any { it.sample == job.sample }
                }.map { it.target.id }
                .toSet()
        val prefix = job.group.value.takeIf { policy.prefixAffinity }
        val picked = pickTarget(candidates, PickRequest(ZoneId("a"), prefixKey = prefix, exclude = exclude))
        return engines.firstOrNull { it.target.id == picked?.target?.id }
    }

    private fun candidate(engine: SimulatedEngine) =
        Candidate(
            target = engine.target,
            outstanding = engine.jobs.size,
            limit = SimulatedEngine.SLOTS,
            ejected = tick < engine.blockedUntilTick,
            speed = speeds.relative(engine.target.id),
        )

    private fun finish(
        step: StepState,
        engine: SimulatedEngine,
        job: EngineJob,
    ) {
        if (policy.useSpeeds) {
            speeds.record(
                engine.target.id,
                job.produced - job.inheritedTokens,
                (tick - job.startedAtTick) * TICK_MS,
            )
        }
        val generation = Generation(List(job.produced) { 1 }, job.spans)
        if (!step.generated(job.sample, generation, nowMs())) return
        step.scored(job.sample, 1.0)
        interrupted.filter { it.sample == job.sample }.forEach { wastedTokens += it.produced }
        interrupted.removeAll { it.sample == job.sample }
        engines.forEach { other ->
            val superseded = other.jobs.filter { it.sample == job.sample }
            other.jobs.removeAll(superseded)
            superseded.forEach { attempt ->
                wastedTokens +=
                    attempt.produced - minOf(attempt.produced, maxOf(job.inheritedTokens, attempt.inheritedTokens))
                step.generated(job.sample, null, nowMs())
            }
        }
    }

    private fun crash() {
        val lostJobs = engines.random(random).crash(tick + RESTART_TICKS)
        lostJobs.forEach { job ->
            if (policy.continueAfterCrash) {
                interrupted += job
            } else {
                wastedTokens += job.produced
                interrupted += EngineJob(job.sample, job.group, job.length)
            }
        }
    }

    /** Publishes new weights in two waves; each engine is paused until its wave has loaded the weights. */
    private fun publishWeights() {
        version = WeightVersion(version.value + 1)
        engines.forEachIndexed { index, engine ->
            engine.version = version
            engine.blockedUntilTick = maxOf(engine.blockedUntilTick, tick + WEIGHT_LOAD_TICKS * (1 + index % 2))
        }
    }

    /** Length of a sample in tokens, which is the same under every policy. */
    private fun lengthOf(sample: SampleId): Int {
        val lengthRandom = Random(seed.toLong() * SEED_FACTOR + sample.value.hashCode()).asJavaRandom()
        return exp(LENGTH_LOG_MEAN + LENGTH_LOG_DEVIATION * lengthRandom.nextGaussian()).toInt().coerceIn(1, MAX_TOKENS)
    }

    private fun nowMs() = tick * TICK_MS

    private companion object {
        const val ENGINES = 8
        const val SLOW_SPEED = 0.35
        const val GROUPS = 48
        const val GROUP_SIZE = 8
        const val MAX_TOKENS = 1_024
        const val LENGTH_LOG_MEAN = 5.0
        const val LENGTH_LOG_DEVIATION = 0.7
        const val TICK_MS = 20L
        const val TRAIN_TICKS = 1_000
        const val WEIGHT_LOAD_TICKS = 25L
        const val RESTART_TICKS = 500L
        const val CRASH_PROBABILITY_PER_TICK = 1.0 / 3_000
        const val SEED_FACTOR = 1_000_003L

        /** Above 1, which `SpeedOf` defines as unknown. */
        const val UNKNOWN_SPEED = 2.0

        const val P99 = 99
        const val PERCENT = 100
    }
}
