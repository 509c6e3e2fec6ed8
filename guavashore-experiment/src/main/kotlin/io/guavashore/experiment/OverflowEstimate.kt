/*
 * Estimates the probability that the sum of many independent sources exceeds a capacity, by the bufferless many-sources
 * asymptotic. Reference: I. Hsu and J. Walrand, "Admission Control for ATM Networks", Memorandum UCB/ERL M94/44, 1994,
 * equations 5 and 6.
 */
package io.guavashore.experiment

import kotlin.math.PI
import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.sqrt

/** Distribution of the demand of one source at a random moment. [probabilities] must sum to 1. */
internal class SourceDistribution(
    private val values: DoubleArray,
    private val probabilities: DoubleArray,
) {
    val mean: Double = values.indices.sumOf { values[it] * probabilities[it] }
    val max: Double = values.max()

    /** Cumulant generating function. The largest exponent is factored out to avoid floating-point overflow. */
    private fun cumulant(theta: Double): Double {
        val largest = values.maxOf { it * theta }
        return largest + ln(values.indices.sumOf { probabilities[it] * exp(values[it] * theta - largest) })
    }

    /** Mean and variance of the distribution exponentially tilted by [theta]. */
    private fun tilted(theta: Double): Pair<Double, Double> {
        val shift = cumulant(theta)
        var mean = 0.0
        var square = 0.0
        values.indices.forEach {
            val weight = probabilities[it] * exp(values[it] * theta - shift)
            mean += values[it] * weight
            square += values[it] * values[it] * weight
        }
        return mean to square - mean * mean
    }

    /** Estimates P(sum of [count] sources > [capacity]). */
    fun overflow(
        count: Int,
        capacity: Double,
    ): OverflowFigures {
        val perSource = capacity / count
        if (perSource <= mean) return OverflowFigures(cramer = 1.0, bahadurRao = 1.0)
        if (perSource >= max) return OverflowFigures(cramer = 0.0, bahadurRao = 0.0)
        val theta = maximiser(perSource)
        val rate = theta * perSource - cumulant(theta)
        val sigma = sqrt(tilted(theta).second)
        val cramer = exp(-count * rate)
        val refined = cramer / (sqrt(2 * PI) * sigma * theta * sqrt(count.toDouble()))
        return OverflowFigures(cramer, minOf(1.0, refined))
    }

    /** Largest number of sources whose estimated overflow probability (Bahadur and Rao) is at most [bound]. */
    fun admissible(
        capacity: Double,
        bound: Double,
    ): Int = generateSequence(1) { it + 1 }.first { overflow(it + 1, capacity).bahadurRao > bound }

    /** Finds by bisection the theta whose tilted mean is [perSource]; the tilted mean increases with theta. */
    private fun maximiser(perSource: Double): Double {
        var low = 0.0
        var high = 1.0 / max
        while (tilted(high).first < perSource) high *= 2
        repeat(BISECTION_STEPS) {
            val middle = (low + high) / 2
            if (tilted(middle).first < perSource) low = middle else high = middle
        }
        return (low + high) / 2
    }

    private companion object {
        const val BISECTION_STEPS = 80
    }
}

/** Estimates by equation 5 (Cramer) and equation 6 (Bahadur and Rao). */
internal class OverflowFigures(
    val cramer: Double,
    val bahadurRao: Double,
)

/** Exact probability that at least [minOn] of [count] on-off sources are on. */
internal fun binomialTail(
    count: Int,
    minOn: Int,
    probability: Double,
): Double {
    val logFactorial = DoubleArray(count + 1)
    for (number in 1..count) logFactorial[number] = logFactorial[number - 1] + ln(number.toDouble())
    return (minOn..count).sumOf { on ->
        val choose = logFactorial[count] - logFactorial[on] - logFactorial[count - on]
        exp(choose + on * ln(probability) + (count - on) * ln(1 - probability))
    }
}
