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

class ClaimStoreTest {
    private val memory = InMemoryStore()
    private val clock = VirtualClock()
    private val key = ClaimKey(TeamId("t"), OrganisationId("o"), ServiceId("orders"), "order-17")
    private val response = RecordedResponse(200, "text/plain", "done".toByteArray())

    private fun claims() = ClaimStore(memory.asStore, clock)

    @Nested
    inner class `a repeated request` {
        @Test
        fun `a repeated request gets the recorded response and does not run`() =
            runTest {
                assertEquals(ClaimOutcome.Granted, claims().claim(key, AttemptId("a")))
                claims().finish(key, AttemptId("a"), response)
                val again = assertIs<ClaimOutcome.Taken>(claims().claim(key, AttemptId("b")))
                assertEquals("done", again.response?.body?.decodeToString())
            }

        @Test
        fun `a repeated request does not run if the first attempt ended without a response`() =
            runTest {
                claims().claim(key, AttemptId("a"))
                assertEquals(ClaimOutcome.Taken(null), claims().claim(key, AttemptId("b")))
            }

        @Test
        fun `a repeated request runs if the first attempt released its claim, which no other attempt can do`() =
            runTest {
                claims().claim(key, AttemptId("a"))
                claims().release(key, AttemptId("a"))
                assertEquals(ClaimOutcome.Granted, claims().claim(key, AttemptId("b")))
                assertEquals(true, claims().release(key, AttemptId("other")).not())
            }

        @Test
        fun `a request is refused while the store is unavailable`() =
            runTest {
                memory.fault = StoreFault.DOWN
                assertIs<ClaimOutcome.Unavailable>(claims().claim(key, AttemptId("a")))
            }
    }

    @Test
    fun `a claim is granted if the store's response is lost but reading back shows the claim`() =
        runTest {
            memory.fault = StoreFault.ANSWER_LOST
            assertEquals(ClaimOutcome.Granted, claims().claim(key, AttemptId("a")))
        }

    @Test
    fun `at most one of many concurrent claims is granted, even if store responses are lost`() =
        runTest {
            val random = Random(7)
            repeat(50) { round ->
                val contested = key.copy(key = "round-$round")
                memory.fault = if (random.nextBoolean()) StoreFault.ANSWER_LOST else StoreFault.NONE
                val outcomes = List(12) { async { claims().claim(contested, AttemptId("$it")) } }.awaitAll()
                assertTrue(outcomes.count { it == ClaimOutcome.Granted } <= 1, "round $round: $outcomes")
            }
        }

    @Test
    fun `a new claim drops expired claims of the same bucket`() =
        runTest {
            val claims = ClaimStore(memory.asStore, clock, retentionMs = 1_000, buckets = 1)
            repeat(100) {
                claims.claim(key.copy(key = "k$it"), AttemptId("a"))
                clock.advanceMs(100)
            }
            val size = memory.asStore.read(io.guavashore.platform.ObjectPath("claims/t/o/0"))
            assertTrue(Regex("\"attempt\"").findAll(size.toString()).count() <= 12)
        }
}
