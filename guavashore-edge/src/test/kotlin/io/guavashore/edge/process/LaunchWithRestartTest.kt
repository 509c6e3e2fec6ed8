package io.guavashore.edge.process

import kotlinx.coroutines.delay
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.runTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class LaunchWithRestartTest {
    @Test
    fun `a task that fails unexpectedly is restarted and other tasks continue`() =
        runTest {
            var rounds = 0
            var others = 0
            backgroundScope.launchWithRestart("fails twice") {
                rounds++
                check(rounds > 2) { "round $rounds" }
                delay(10_000)
            }
            backgroundScope.launchWithRestart("other") {
                while (true) {
                    others++
                    delay(100)
                }
            }
            advanceTimeBy(2_000)
            assertEquals(3, rounds)
            assertTrue(others >= 19)
        }

    /** Guards against processes that stay ready although their tasks have ended. */
    @Test
    fun `a task that exhausts the stack is restarted`() =
        runTest {
            var rounds = 0
            backgroundScope.launchWithRestart("fails once") {
                rounds++
                if (rounds == 1) throw StackOverflowError()
                delay(10_000)
            }
            advanceTimeBy(2_000)
            assertEquals(2, rounds)
        }

    @Test
    fun `a task that has completed is not restarted`() =
        runTest {
            var rounds = 0
            backgroundScope.launchWithRestart("once") { rounds++ }
            advanceTimeBy(2_000)
            assertEquals(1, rounds)
        }
}
