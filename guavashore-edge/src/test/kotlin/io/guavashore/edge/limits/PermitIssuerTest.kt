package io.guavashore.edge.limits

import io.guavashore.api.TargetId
import io.guavashore.testing.VirtualClock
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

class PermitIssuerTest {
    private val clock = VirtualClock()
    private val limits = TargetRateLimits(clock) { BORN_MS }
    private val issuer = PermitIssuer(limits, clock)
    private val targets = List(3) { TargetId("t$it") }

    private fun request(
        maxWaitMs: Long,
        candidates: List<TargetId> = targets,
    ) = PermitRequest(candidates.map { TargetRateLimit(it, BORN_MS, limits.of(it)) }, maxWaitMs)

    @Test
    fun `many VMs with uneven load and the coordinator's items keep to each target's limit and use it`() {
        for (seed in 0..40) {
            val random = Random(seed)
            val issuer = PermitIssuer(limits, clock)
            val rate = listOf(0.3, 1.0, 2.5, 8.0).random(random)
            targets.forEach { limits.recordNamed(it, rate) }
            val sent = targets.associateWith { ArrayList<Long>() }
            repeat(STEPS) {
                clock.advanceMs(STEP_MS)
                repeat(random.nextInt(12)) {
                    val decision = issuer.decide(request(maxWaitMs = random.nextLong(1_500)))
                    if (decision is PermitDecision.Granted) sent.getValue(decision.target) += clock() + decision.waitMs
                }
                targets.forEach { target ->
                    while (random.nextBoolean() && issuer.take(target)) sent.getValue(target) += clock()
                }
            }
            sent.forEach { (target, times) ->
                val busiest = times.maxOf { start -> times.count { it - start in 0 until WINDOW_MS } }
                val most = 1.5 * rate * WINDOW_MS / 1_000 + 5
                assertTrue(busiest <= most, "seed $seed $target rate $rate: $busiest of $most")
                val expected = rate * STEPS * STEP_MS / 1_000
                assertTrue(
                    times.size >= 0.9 * expected - 1,
                    "seed $seed $target rate $rate: ${times.size} of $expected",
                )
            }
        }
    }

    @Test
    fun `the target that has room first is chosen`() {
        limits.recordNamed(targets[0], 1.0)
        limits.recordNamed(targets[1], 10.0)
        val decision = issuer.decide(request(maxWaitMs = 2_000, candidates = targets.take(2)))
        assertEquals(PermitDecision.Granted(targets[1], waitMs = 100), decision)
    }

    @Test
    fun `refused requests are told to return one after the other`() {
        limits.recordNamed(targets[0], 1.0)
        val decisions = List(3) { issuer.decide(request(maxWaitMs = 0, candidates = targets.take(1))) }
        assertEquals(
            listOf(1_000L, 2_000L, 3_000L),
            decisions.map { assertIs<PermitDecision.Refused>(it).retryAfterMs },
        )
    }

    @Test
    fun `a refused request that returns when it was told to finds room`() {
        limits.recordNamed(targets[0], 2.0)
        val refused = assertIs<PermitDecision.Refused>(issuer.decide(request(0, targets.take(1))))
        clock.advanceMs(refused.retryAfterMs)
        assertIs<PermitDecision.Granted>(issuer.decide(request(0, targets.take(1))))
    }

    private companion object {
        const val BORN_MS = 1L
        const val STEPS = 1_000
        const val STEP_MS = 20L
        const val WINDOW_MS = 4_000L
    }
}
