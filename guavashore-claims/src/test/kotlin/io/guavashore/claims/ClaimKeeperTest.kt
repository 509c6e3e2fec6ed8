package io.guavashore.claims

import io.guavashore.api.AttemptId
import io.guavashore.api.OrganisationId
import io.guavashore.api.ServiceId
import io.guavashore.api.TeamId
import io.guavashore.testing.InMemoryStore
import io.guavashore.testing.StoreFault
import io.guavashore.testing.VirtualClock
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Nested
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

class ClaimKeeperTest {
    private val memory = InMemoryStore()
    private val clock = VirtualClock()
    private val key = ClaimKey(TeamId("t"), OrganisationId("o"), ServiceId("orders"), "order-17")
    private val answer = RecordedAnswer(200, "text/plain", "done".toByteArray())

    private fun keeper() = ClaimKeeper(memory.asStore, clock)

    @Nested
    inner class `a repeat of a request` {
        @Test
        fun `through another entry gets the recorded answer and does not run`() =
            runTest {
                assertEquals(ClaimOutcome.Granted, keeper().claim(key, AttemptId("a")))
                keeper().finish(key, AttemptId("a"), answer)
                val again = assertIs<ClaimOutcome.Taken>(keeper().claim(key, AttemptId("b")))
                assertEquals("done", again.answer?.body?.decodeToString())
            }

        @Test
        fun `whose owner died before it answered does not run either`() =
            runTest {
                keeper().claim(key, AttemptId("a"))
                assertEquals(ClaimOutcome.Taken(null), keeper().claim(key, AttemptId("b")))
            }

        @Test
        fun `runs if the first is known not to have run`() =
            runTest {
                keeper().claim(key, AttemptId("a"))
                keeper().release(key, AttemptId("a"))
                assertEquals(ClaimOutcome.Granted, keeper().claim(key, AttemptId("b")))
                assertEquals(true, keeper().release(key, AttemptId("other")).not())
            }

        @Test
        fun `is refused while the store can't be asked`() =
            runTest {
                memory.fault = StoreFault.DOWN
                assertIs<ClaimOutcome.Unavailable>(keeper().claim(key, AttemptId("a")))
            }
    }

    @Test
    fun `a claim whose answer was lost is known by reading back`() =
        runTest {
            memory.fault = StoreFault.ANSWER_LOST
            assertEquals(ClaimOutcome.Granted, keeper().claim(key, AttemptId("a")))
        }

    @Test
    fun `of many claims at once, with faults, at most one is granted`() =
        runTest {
            val random = Random(7)
            repeat(50) { round ->
                val contested = key.copy(key = "round-$round")
                memory.fault = if (random.nextBoolean()) StoreFault.ANSWER_LOST else StoreFault.NONE
                val outcomes = List(12) { async { keeper().claim(contested, AttemptId("$it")) } }.awaitAll()
                assertTrue(outcomes.count { it == ClaimOutcome.Granted } <= 1, "round $round: $outcomes")
            }
        }

    @Test
    fun `old claims are dropped as new ones are written`() =
        runTest {
            val keeper = ClaimKeeper(memory.asStore, clock, keepMs = 1_000, buckets = 1)
            repeat(100) {
                keeper.claim(key.copy(key = "k$it"), AttemptId("a"))
                clock.advanceMs(100)
            }
            val size = memory.asStore.read(io.guavashore.platform.ObjectPath("claims/t/o/0"))
            assertTrue(Regex("\"attempt\"").findAll(size.toString()).count() <= 12)
        }
}
