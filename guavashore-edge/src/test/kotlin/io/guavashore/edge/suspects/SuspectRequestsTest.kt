package io.guavashore.edge.suspects

import io.guavashore.api.OrganisationId
import io.guavashore.api.VmId
import io.guavashore.routing.RequestFingerprint
import io.guavashore.testing.VirtualClock
import org.junit.jupiter.api.Nested
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertTrue

class SuspectRequestsTest {
    private val clock = VirtualClock()
    private val suspects = SuspectRequests(clock)
    private val request = RequestFingerprint.of(OrganisationId("o"), "x".toByteArray())

    private fun failTrials(count: Int) =
        (1..count).forEach { number ->
            clock.advanceMs((suspects.verdict(request) as? Verdict.Refused)?.retryAfterMs ?: 0)
            suspects.recordEnd(request, "t$number", number)
        }

    @Nested
    inner class `a request under which targets ended` {
        @Test
        fun `runs as a trial although twelve targets ended under it at once`() {
            repeat(12) { suspects.recordEnd(request, "t$it", trial = null) }
            assertEquals(Verdict.OnTrial(1), suspects.verdict(request))
        }

        @Test
        fun `is sound again once a run has come to its end`() {
            failTrials(1)
            assertTrue(suspects.recordCompletion(request))
            assertEquals(Verdict.Sound, suspects.verdict(request))
        }

        @Test
        fun `is refused after two failed trials and gets two more before it is refused for long`() {
            suspects.recordEnd(request, "t0", trial = null)
            failTrials(2)
            assertEquals(Verdict.Refused(2_000), suspects.verdict(request))
            failTrials(4)
            assertEquals(Verdict.Refused(600_000), suspects.verdict(request))
        }

        @Test
        fun `is forgotten some time after it was last heard of`() {
            suspects.recordEnd(request, "t0", trial = null)
            clock.advanceMs(60_000)
            assertEquals(Verdict.Sound, suspects.verdict(request))
            assertEquals(emptyList(), suspects.all())
        }
    }

    @Nested
    inner class `records of several VMs` {
        @Test
        fun `lead to the same verdict in whatever order they arrive`() {
            for (seed in 0..40) {
                val random = Random(seed)
                val source = SuspectRequests(clock)
                val records =
                    (1..12).map { number ->
                        when (random.nextInt(4)) {
                            0 -> source.recordCompletion(request)
                            1 -> source.recordEnd(request, "t$number", trial = random.nextInt(1, 4))
                            else -> source.recordEnd(request, "t$number", trial = null)
                        }
                        source[request]
                    }
                val replicas = List(4) { SuspectRequests(clock) }
                replicas.forEach { replica -> (records + records).shuffled(random).forEach(replica::merge) }
                assertEquals(setOf(source.verdict(request)), replicas.map { it.verdict(request) }.toSet(), "seed $seed")
            }
        }

        @Test
        fun `of targets that ended before a completed run don't make the request suspect again`() {
            suspects.recordEnd(request, "t0", trial = null)
            val before = suspects[request]
            suspects.recordCompletion(request)
            assertFalse(suspects.merge(before))
            assertEquals(Verdict.Sound, suspects.verdict(request))
        }
    }

    @Nested
    inner class `trials` {
        private val alive = hashSetOf(VmId("a"), VmId("b"))
        private val desk = TrialDesk(clock) { it in alive }

        @Test
        fun `of one request are granted one at a time`() {
            assertTrue(desk.begin(request, VmId("a"), maxMs = 1_000))
            assertFalse(desk.begin(request, VmId("b"), maxMs = 1_000))
            desk.end(request, VmId("b"))
            assertFalse(desk.begin(request, VmId("b"), maxMs = 1_000), "ended by a VM that does not hold it")
            desk.end(request, VmId("a"))
            assertTrue(desk.begin(request, VmId("b"), maxMs = 1_000))
        }

        @Test
        fun `of a VM that is lost or paused end by themselves`() {
            desk.begin(request, VmId("a"), maxMs = 1_000)
            alive -= VmId("a")
            assertTrue(desk.begin(request, VmId("b"), maxMs = 1_000))
            clock.advanceMs(1_001)
            assertTrue(desk.begin(request, VmId("b"), maxMs = 1_000))
        }

        @Test
        fun `of a request that is repeated without end end five targets within ten minutes`() {
            var ended = 1
            suspects.recordEnd(request, "t0", trial = null)
            repeat(6_000) {
                clock.advanceMs(100)
                val verdict = suspects.verdict(request)
                if (verdict is Verdict.OnTrial) suspects.recordEnd(request, "t${ended++}", verdict.number)
            }
            assertEquals(5, ended)
            assertIs<Verdict.Refused>(suspects.verdict(request))
        }
    }
}
