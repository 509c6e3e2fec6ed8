/*
 * Experiment on the number of streams that an engine should admit: simulates an engine that preempts streams when its
 * key-value cache is full, with the limit that each admission rule gives.
 */
package io.guavashore.experiment

import kotlinx.serialization.Serializable
import kotlin.math.exp
import kotlin.random.Random
import kotlin.random.asJavaRandom

/** Results of one admission rule; [goodput] is the number of tokens of finished requests per time unit. */
@Serializable
data class EngineMemoryFigures(
    val rule: String,
    val seed: Int,
    val streams: Int,
    val goodput: Double,
    val preemptionsPerThousandRequests: Double,
    val wastedShare: Double,
)

/** Exact and estimated overflow probability for the on-off sources of Hsu and Walrand (see [SourceDistribution]). */
@Serializable
data class PaperCheckFigures(
    val sources: Int,
    val exact: Double,
    val cramer: Double,
    val bahadurRao: Double,
)

/** Sources of the paper's section 5.1: off 45 s, on 5 s, rates 1 and 3 Mbit/s, 1.55 Mbit/s of capacity per source. */
internal fun checkAgainstPaper(sources: Int): PaperCheckFigures {
    // Integer arithmetic in hundredths: floating point could round a number of sources exactly at the bound past it.
    val minOn = (sources * CAPACITY_ABOVE_LOW_HUNDREDTHS + RATE_RANGE_HUNDREDTHS - 1) / RATE_RANGE_HUNDREDTHS
    val rates = doubleArrayOf(LOW_RATE, HIGH_RATE)
    val distribution = SourceDistribution(rates, doubleArrayOf(1 - ON_SHARE, ON_SHARE))
    val estimate = distribution.overflow(sources, sources * CAPACITY_PER_SOURCE)
    return PaperCheckFigures(sources, binomialTail(sources, minOn, ON_SHARE), estimate.cramer, estimate.bahadurRao)
}

private const val LOW_RATE = 1.0
private const val HIGH_RATE = 3.0
private const val CAPACITY_PER_SOURCE = 1.55
private const val ON_SHARE = 0.1
private const val CAPACITY_ABOVE_LOW_HUNDREDTHS = 55
private const val RATE_RANGE_HUNDREDTHS = 200

/** Simulated engine whose cache holds [memoryTokens] tokens, under constant demand. */
internal class EngineMemoryExperiment(
    private val memoryTokens: Int = 60_000,
    private val maxTokens: Int = 2_048,
    private val seed: Int = 1,
) {
    private class Stream(
        val promptTokens: Int,
        val outputTokens: Int,
    ) {
        var producedTokens = 0
        val heldTokens get() = promptTokens + producedTokens
    }

    /** Runs each admission rule on the same demand. */
    fun run(): List<EngineMemoryFigures> {
        val distribution = observeHeldTokens()
        return listOf(
            run("reserve the maximum", memoryTokens / (PROMPT_MAX + maxTokens)),
            run("fixed cap of 64", FIXED_STREAM_LIMIT),
            run("Bahadur-Rao, overflow 1e-2", distribution.admissible(memoryTokens.toDouble(), OVERFLOW_BOUND)),
            run("mean", (memoryTokens / distribution.mean).toInt()),
            run("no limit", UNLIMITED_STREAMS),
        )
    }

    /** Distribution of the tokens that a stream holds at a random moment, estimated from finished requests. */
    private fun observeHeldTokens(): SourceDistribution {
        val random = Random(seed + OBSERVATION_SEED_OFFSET)
        val weights = DoubleArray(BINS)
        val width = (PROMPT_MAX + maxTokens) / BINS + 1
        repeat(OBSERVED_REQUESTS) {
            val stream = newStream(random)
            // Each moment of a request counts once, so long requests weigh more than short ones.
            for (produced in 0 until stream.outputTokens step OBSERVATION_STEP_TOKENS) {
                weights[(stream.promptTokens + produced) / width] += 1.0
            }
        }
        val totalWeight = weights.sum()
        val usedBins = weights.indices.filter { weights[it] > 0 }
        return SourceDistribution(
            values = usedBins.map { (it + 1.0) * width }.toDoubleArray(),
            probabilities = usedBins.map { weights[it] / totalWeight }.toDoubleArray(),
        )
    }

    private fun run(
        rule: String,
        maxStreams: Int,
    ): EngineMemoryFigures {
        val random = Random(seed)
        val running = ArrayList<Stream>()
        var finishedTokens = 0L
        var wastedTokens = 0L
        var finishedRequests = 0
        var preemptions = 0
        var time = 0.0
        repeat(TICKS) {
            while (running.size < maxStreams && running.sumOf { it.heldTokens } + PROMPT_MAX < memoryTokens) {
                running += newStream(random)
            }
            running.forEach { it.producedTokens++ }
            time += TICK_BASE_TIME + TICK_TIME_PER_STREAM * running.size
            val done = running.filter { it.producedTokens >= it.outputTokens }
            running.removeAll(done)
            finishedRequests += done.size
            finishedTokens += done.sumOf { it.outputTokens }
            while (running.sumOf { it.heldTokens } > memoryTokens) {
                val newest = running.removeLast()
                preemptions++
                wastedTokens += newest.producedTokens
                time += newest.heldTokens * PREFILL_TIME_PER_TOKEN
            }
        }
        return EngineMemoryFigures(
            rule = rule,
            seed = seed,
            streams = maxStreams,
            goodput = finishedTokens / time,
            preemptionsPerThousandRequests = preemptions * PER_THOUSAND / maxOf(1, finishedRequests),
            wastedShare = wastedTokens.toDouble() / maxOf(1, wastedTokens + finishedTokens),
        )
    }

    private fun newStream(random: Random): Stream {
        val length =
            exp(LENGTH_LOG_MEAN + LENGTH_LOG_DEVIATION * random.asJavaRandom().nextGaussian())
                .toInt()
                .coerceIn(1, maxTokens)
        return Stream(random.nextInt(PROMPT_MIN, PROMPT_MAX), length)
    }

    private companion object {
        const val PROMPT_MIN = 50
        const val PROMPT_MAX = 500
        const val LENGTH_LOG_MEAN = 5.5
        const val LENGTH_LOG_DEVIATION = 0.9
        const val FIXED_STREAM_LIMIT = 64
        const val UNLIMITED_STREAMS = 100_000
        const val OVERFLOW_BOUND = 1e-2
        const val OBSERVED_REQUESTS = 4_000
        const val OBSERVATION_SEED_OFFSET = 7_000
        const val BINS = 128
        const val OBSERVATION_STEP_TOKENS = 8
        const val TICKS = 20_000
        const val TICK_BASE_TIME = 1.0
        const val TICK_TIME_PER_STREAM = 0.004
        const val PREFILL_TIME_PER_TOKEN = 0.002
        const val PER_THOUSAND = 1_000.0
    }
}
