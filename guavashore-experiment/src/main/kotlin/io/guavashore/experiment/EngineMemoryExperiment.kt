/*
 * How many streams an engine should take: an engine whose memory for keys and values overflows by preemption, run
 * with the number of streams that each rule admits.
 */
package io.guavashore.experiment

import kotlinx.serialization.Serializable
import kotlin.math.exp
import kotlin.random.Random
import kotlin.random.asJavaRandom

/** Figures of one rule; goodput is finished tokens per time unit. */
@Serializable
data class EngineMemoryFigures(
    val rule: String,
    val seed: Int,
    val streams: Int,
    val goodput: Double,
    val preemptionsPerThousandRequests: Double,
    val wastedShare: Double,
)

/** Check of the estimate on the paper's two-state sources. */
@Serializable
data class PaperCheckFigures(
    val sources: Int,
    val exact: Double,
    val cramer: Double,
    val bahadurRao: Double,
)

/** Sources of section 5.1: off 45 s, on 5 s, rates 1 and 3 Mbit/s, 1.55 Mbit/s of capacity each. */
internal fun checkPaper(sources: Int): PaperCheckFigures {
    // In hundredths, so that a number of sources that lies on the bound is not rounded past it.
    val least = (sources * ABOVE_LOW_RATE + HIGH_ABOVE_LOW - 1) / HIGH_ABOVE_LOW
    val rates = doubleArrayOf(LOW_RATE, HIGH_RATE)
    val distribution = SourceDistribution(rates, doubleArrayOf(1 - ON_SHARE, ON_SHARE))
    val estimate = distribution.overflow(sources, sources * CAPACITY_EACH)
    return PaperCheckFigures(sources, binomialTail(sources, least, ON_SHARE), estimate.cramer, estimate.bahadurRao)
}

private const val LOW_RATE = 1.0
private const val HIGH_RATE = 3.0
private const val CAPACITY_EACH = 1.55
private const val ON_SHARE = 0.1
private const val ABOVE_LOW_RATE = 55
private const val HIGH_ABOVE_LOW = 200

/** Engine of [memoryTokens] under steady demand. */
internal class EngineMemoryExperiment(
    private val memoryTokens: Int = 60_000,
    private val maxTokens: Int = 2_048,
    private val seed: Int = 1,
) {
    private class Stream(
        val prompt: Int,
        val length: Int,
    ) {
        var produced = 0
        val held get() = prompt + produced
    }

    /** Runs each rule on the same demand. */
    fun run(): List<EngineMemoryFigures> {
        val distribution = observe()
        return listOf(
            run("reserve the maximum", memoryTokens / (PROMPT_MAX + maxTokens)),
            run("fixed cap of 64", FIXED_CAP),
            run("Bahadur-Rao, overflow 1e-2", distribution.admissible(memoryTokens.toDouble(), OVERFLOW_BOUND)),
            run("mean", (memoryTokens / distribution.mean).toInt()),
            run("all that come", UNBOUNDED),
        )
    }

    /** What a stream holds at a random moment, as learned from requests that have finished. */
    private fun observe(): SourceDistribution {
        val random = Random(seed + OBSERVE_SEED)
        val weights = DoubleArray(BINS)
        val width = (PROMPT_MAX + maxTokens) / BINS + 1
        repeat(OBSERVED) {
            val stream = newStream(random)
            // A long request is seen for longer: each moment of its life counts once.
            for (produced in 0 until stream.length step STEP) weights[(stream.prompt + produced) / width] += 1.0
        }
        val sum = weights.sum()
        val used = weights.indices.filter { weights[it] > 0 }
        return SourceDistribution(
            values = used.map { (it + 1.0) * width }.toDoubleArray(),
            probabilities = used.map { weights[it] / sum }.toDoubleArray(),
        )
    }

    private fun run(
        rule: String,
        streams: Int,
    ): EngineMemoryFigures {
        val random = Random(seed)
        val running = ArrayList<Stream>()
        var finishedTokens = 0L
        var wasted = 0L
        var finished = 0
        var preempted = 0
        var time = 0.0
        repeat(TICKS) {
            while (running.size < streams && running.sumOf { it.held } + PROMPT_MAX < memoryTokens) {
                running += newStream(random)
            }
            running.forEach { it.produced++ }
            time += TICK_BASE + TICK_PER_STREAM * running.size
            val done = running.filter { it.produced >= it.length }
            running.removeAll(done)
            finished += done.size
            finishedTokens += done.sumOf { it.length }
            while (running.sumOf { it.held } > memoryTokens) {
                val newest = running.removeLast()
                preempted++
                wasted += newest.produced
                time += newest.held * PREFILL_PER_TOKEN
            }
        }
        return EngineMemoryFigures(
            rule = rule,
            seed = seed,
            streams = streams,
            goodput = finishedTokens / time,
            preemptionsPerThousandRequests = preempted * PER_THOUSAND / maxOf(1, finished),
            wastedShare = wasted.toDouble() / maxOf(1, wasted + finishedTokens),
        )
    }

    private fun newStream(random: Random): Stream {
        val length = exp(LOG_MEAN + LOG_DEVIATION * random.asJavaRandom().nextGaussian()).toInt().coerceIn(1, maxTokens)
        return Stream(random.nextInt(PROMPT_MIN, PROMPT_MAX), length)
    }

    private companion object {
        const val PROMPT_MIN = 50
        const val PROMPT_MAX = 500
        const val LOG_MEAN = 5.5
        const val LOG_DEVIATION = 0.9
        const val FIXED_CAP = 64
        const val UNBOUNDED = 100_000
        const val OVERFLOW_BOUND = 1e-2
        const val OBSERVED = 4_000
        const val OBSERVE_SEED = 7_000
        const val BINS = 128
        const val STEP = 8
        const val TICKS = 20_000
        const val TICK_BASE = 1.0
        const val TICK_PER_STREAM = 0.004
        const val PREFILL_PER_TOKEN = 0.002
        const val PER_THOUSAND = 1_000.0
    }
}
