package io.guavashore.experiment

import kotlin.test.Test
import kotlin.test.assertTrue

class OverflowEstimateTest {
    @Test
    fun `for the paper's sources the Bahadur-Rao estimate is closer to the exact value than the Cramer estimate`() {
        listOf(40, 100, 200).forEach { sources ->
            val figures = checkAgainstPaper(sources)
            val bahadurRaoError = maxOf(figures.bahadurRao / figures.exact, figures.exact / figures.bahadurRao)
            val cramerError = figures.cramer / figures.exact
            assertTrue(bahadurRaoError < cramerError, "$figures")
            assertTrue(bahadurRaoError < 2.0, "$figures")
        }
    }

    @Test
    fun `the overflow bound admits fewer streams than the mean demand allows and more than the max demand allows`() {
        val source = SourceDistribution(doubleArrayOf(100.0, 1_000.0), doubleArrayOf(0.8, 0.2))
        val admitted = source.admissible(capacity = 50_000.0, bound = 1e-3)
        assertTrue(admitted in 51..178, "$admitted")
    }
}
