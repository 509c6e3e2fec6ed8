package io.guavashore.edge.limits

import io.guavashore.api.TargetId
import io.guavashore.testing.VirtualClock
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

/**
 * A zone of engines comes back cold while a step of 128 items waits at the coordinator and 60 VMs have plain requests
 * for them; each schedule is what one engine gets. The coordinator takes whatever is free; a permit is used at any time
 * while it is valid.
 */
class ColdStartSchedulesTest {
    private enum class Fault { NONE, CUT, NEW_COORDINATOR, RESTART }

    private val target = TargetId("e1")

    private inner class Schedule(
        seed: Int,
    ) {
        val random = Random(seed)
        val fault = Fault.entries[seed % Fault.entries.size]
        val rate = listOf(0.5, 2.0, 7.6, 40.0).random(random)
        val clock = VirtualClock()
        val startMs = clock()
        val limits = TargetRateLimits(clock, coldStartsPerS = { rate }, bornAtMs = { 1L })
        var issuer: PermitIssuer? = PermitIssuer(limits, clock)
        val faultFromMs = startMs + random.nextLong(500, 2_500)
        val faultUntilMs = faultFromMs + if (fault == Fault.CUT) 3_000 else random.nextLong(600)
        val ranks = (0 until VMS).shuffled(random).take(BUSY_VMS)
        val turns = ranks.associateWith { RotatingTurns() }
        val skewMs = ranks.associateWith { random.nextLong(-SKEW_MS, SKEW_MS) }
        val sentMs = ArrayList<Long>()

        private fun use(notBeforeMs: Long) {
            sentMs += notBeforeMs + random.nextLong(StrictLimit.VALIDITY_MS + 1)
        }

        private fun ask(
            rank: Int,
            current: PermitIssuer?,
        ) {
            val maxWaitMs = random.nextLong(1_500)
            if (current != null) {
                val request = PermitRequest(listOf(TargetRateLimit(target, 1, rate, isStrict = true)), maxWaitMs)
                (current.decide(request) as? PermitDecision.Granted)?.let { use(clock() + it.waitMs) }
                return
            }
            val place = RotationPlace(rank, VMS, clock() + skewMs.getValue(rank))
            val waitMs = minOf(maxWaitMs, StrictLimit.MAX_WAIT_MS)
            turns.getValue(rank).take(target, rate, place, waitMs, StrictLimit.TURN_SHARE)?.let { use(clock() + it) }
        }

        fun run(): Schedule {
            while (clock() < startMs + DURATION_MS) {
                clock.advanceMs(random.nextLong(5, 30))
                val isFaulty = fault != Fault.NONE && clock() in faultFromMs until faultUntilMs
                if (isFaulty && fault != Fault.CUT) issuer = null
                if (!isFaulty && issuer == null) issuer = PermitIssuer(limits, clock)
                issuer?.let { while (it.available(target) > 0 && it.take(target)) use(clock()) }
                ranks.forEachIndexed { index, rank ->
                    val isCutOff = isFaulty && fault == Fault.CUT && index % 2 == 0
                    if (random.nextInt(4) == 0) ask(rank, issuer.takeUnless { isCutOff })
                }
            }
            sentMs.sort()
            return this
        }

        /** Most requests in any second. */
        fun busiest(): Int {
            var first = 0
            return sentMs.indices.maxOf { last ->
                while (sentMs[last] - sentMs[first] >= WINDOW_MS) first++
                last - first + 1
            }
        }
    }

    @Test
    fun `no second has more starts than a cold engine bears, through cuts and changes of the coordinator`() {
        for (seed in 0 until SCHEDULES) {
            val schedule = Schedule(seed).run()
            val most = schedule.rate * EXCESS + SLACK
            val busiest = schedule.busiest()
            assertTrue(busiest <= most, "seed $seed ${schedule.fault} rate ${schedule.rate}: $busiest of $most")
        }
    }

    @Test
    fun `what a cold engine bears is used while work waits`() {
        for (seed in 0 until SCHEDULES step Fault.entries.size) {
            val schedule = Schedule(seed).run()
            val usableS = (DURATION_MS - StrictLimit.MAX_WAIT_MS - StrictLimit.VALIDITY_MS) / 1_000.0
            val least = 0.8 * schedule.rate * usableS - 1
            assertTrue(
                schedule.sentMs.size >= least,
                "seed $seed rate ${schedule.rate}: ${schedule.sentMs.size} of $least",
            )
        }
    }

    @Test
    fun `requests of the last second count when a target turns cold`() {
        val clock = VirtualClock()
        var coldPerS: Double? = null
        val limits = TargetRateLimits(clock, { coldPerS }, { 1L })
        val issuer = PermitIssuer(limits, clock)
        clock.advanceMs(5_000)
        repeat(12) { assertTrue(issuer.take(target)) }
        coldPerS = 7.6
        assertEquals(0, issuer.available(target))
        clock.advanceMs(999)
        assertEquals(0, issuer.available(target))
        clock.advanceMs(1)
        assertEquals(1, issuer.available(target))
    }

    @Test
    fun `without the lease no permits for cold targets are issued`() {
        val clock = VirtualClock()
        val issuer = PermitIssuer(TargetRateLimits(clock, { 7.6 }, { 1L }), clock)
        val request = PermitRequest(listOf(TargetRateLimit(target, 1, 7.6, isStrict = true)), maxWaitMs = 5_000)
        clock.advanceMs(5_000)
        assertIs<PermitDecision.Granted>(issuer.decide(request, holdsLease = true))
        assertIs<PermitDecision.Refused>(issuer.decide(request, holdsLease = false))
    }

    private companion object {
        const val SCHEDULES = 10_000
        const val VMS = 60
        const val BUSY_VMS = 8
        const val SKEW_MS = 100L
        const val DURATION_MS = 6_000L
        const val WINDOW_MS = 1_000L
        const val EXCESS = 1.5
        const val SLACK = 5
    }
}
