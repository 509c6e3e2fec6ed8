package io.guavashore.experiment

import kotlin.test.Test
import kotlin.test.assertTrue

class OverflowEstimateTest {
    @Test
    fun `the refined estimate is nearer to the exact value than the plain one for the paper's sources`() {
        listOf(40, 100, 200).forEach { sources ->
            val figures = checkPaper(sources)
            val refinedError = maxOf(figures.bahadurRao / figures.exact, figures.exact / figures.bahadurRao)
            val plainError = figures.cramer / figures.exact
            assertTrue(refinedError < plainError, "$figures")
            assertTrue(refinedError < 2.0, "$figures")
        }
    }

    @Test
    fun `admits fewer streams than the mean would and more than the maximum`() {
        val source = SourceDistribution(doubleArrayOf(100.0, 1_000.0), doubleArrayOf(0.8, 0.2))
        val admitted = source.admissible(capacity = 50_000.0, bound = 1e-3)
        assertTrue(admitted in 51..178, "$admitted")
    }
}
