package io.guavashore.edge.process

import kotlinx.coroutines.delay
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.runTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class KeepRunningTest {
    @Test
    fun `work that fails unexpectedly begins again, and other work goes on`() =
        runTest {
            var rounds = 0
            var others = 0
            backgroundScope.keepRunning("fails twice") {
                rounds++
                check(rounds > 2) { "round $rounds" }
                delay(10_000)
            }
            backgroundScope.keepRunning("other") {
                while (true) {
                    others++
                    delay(100)
                }
            }
            advanceTimeBy(2_000)
            assertEquals(3, rounds)
            assertTrue(others >= 19)
        }

    @Test
    fun `work that has ended is not begun again`() =
        runTest {
            var rounds = 0
            backgroundScope.keepRunning("once") { rounds++ }
            advanceTimeBy(2_000)
            assertEquals(1, rounds)
        }
}
