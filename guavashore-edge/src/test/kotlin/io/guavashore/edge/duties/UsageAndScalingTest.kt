package io.guavashore.edge.duties

import io.guavashore.api.Incarnation
import io.guavashore.api.OrganisationId
import io.guavashore.api.ServiceId
import io.guavashore.api.VmId
import io.guavashore.api.ZoneId
import io.guavashore.edge.declared.ScalingSpec
import io.guavashore.edge.peers.UsageCount
import io.guavashore.testing.VirtualClock
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals

class UsageAndScalingTest {
    @Nested
    inner class `median clock` {
        private val clock = VirtualClock()
        private var wallMs = 1_700_000_000_000L
        private val medianClock = MedianClock({ wallMs }, clock)

        @Test
        fun `median clock ignores a jump of this VM's own clock`() {
            val before = wallMs
            listOf("a", "b", "c").forEach { medianClock.onHeartbeat(VmId(it), before) }
            wallMs += 2_400
            assertEquals(before, medianClock.nowMs())
        }

        @Test
        fun `median clock ignores jumps of a minority of the peers' clocks`() {
            listOf("a" to 0L, "b" to -2_400L, "c" to 1L, "d" to 0L).forEach { (vm, jumpMs) ->
                medianClock.onHeartbeat(
                    VmId(vm),
                    wallMs + jumpMs,
                )
            }
            assertEquals(wallMs, medianClock.nowMs())
        }

        @Test
        fun `median clock equals this VM's wall clock without peers`() = assertEquals(wallMs, medianClock.nowMs())

        @Test
        fun `median clock ignores peers whose last heartbeat is older than five seconds`() {
            listOf("a", "b").forEach { medianClock.onHeartbeat(VmId(it), wallMs - 9_000) }
            clock.advanceMs(6_000)
            assertEquals(wallMs, medianClock.nowMs())
        }
    }

    @Nested
    inner class `usage counters` {
        private val organisation = OrganisationId("weavers")
        private var nowMs = 50_000L
        private val counters = UsageCounters(VmId("a"), Incarnation(1), windowMs = 5_000) { nowMs }

        @Test
        fun `a request is counted in the usage window in which it started`() {
            counters.count(organisation)
            nowMs += 5_000
            counters.count(organisation)
            assertEquals(mapOf(organisation to 1L), counters.total(10))
            assertEquals(mapOf(organisation to 1L), counters.total(11))
        }

        @Test
        fun `usage counts of a peer are counted once when they are received repeatedly`() {
            repeat(3) { counters.merge(VmId("b"), Incarnation(1), listOf(UsageCount(10, organisation, 4))) }
            counters.merge(VmId("b"), Incarnation(1), listOf(UsageCount(10, organisation, 3)))
            assertEquals(mapOf(organisation to 4L), counters.total(10))
        }

        @Test
        fun `usage counts of a restarted peer are added to those before its restart`() {
            counters.merge(VmId("b"), Incarnation(1), listOf(UsageCount(10, organisation, 4)))
            counters.merge(VmId("b"), Incarnation(2), listOf(UsageCount(10, organisation, 2)))
            assertEquals(mapOf(organisation to 6L), counters.total(10))
        }
    }

    /** Scaling on a partial count stops engines: 34 register over 4 s, and an order for 12 would have stopped 22. */
    @Test
    fun `the engine count is unstable while engines still register and stable three seconds later`() {
        val clock = VirtualClock()
        val counts = StableEngineCounts(clock)
        val service = ServiceId("s")
        for (engines in 2..34) {
            assertEquals(false, counts.isStable(service, engines))
            clock.advanceMs(125)
        }
        clock.advanceMs(3_000)
        assertEquals(true, counts.isStable(service, 34))
    }

    @Nested
    inner class `engine count plan` {
        private val zones = listOf("a" to 1.0, "b" to 0.8, "c" to 1.25, "d" to 0.9)
        private val spec =
            ScalingSpec(
                min = 1,
                max = 6,
                bootMs = 4_000,
                spotPriceFactor = null,
                priceByZone = zones.associate { ZoneId(it.first) to it.second },
            )

        private fun counts(
            items: Int?,
            present: Int = 8,
            loadsPerSecond: Double = 2.0,
            evacuated: Set<ZoneId> = emptySet(),
        ): Map<String, Int> {
            val demand =
                EngineDemand(
                    slots = 12,
                    models = 3,
                    maxOpenItems = items,
                    initialEngines = present,
                    loadsPerSecond = loadsPerSecond,
                    versionIntervalMs = 3_750,
                )
            return planEngineCounts(ServiceId("s"), spec, demand, evacuated).associate { it.zone.value to it.count }
        }

        @Test
        fun `planned engine counts provide slots for the maximum of concurrently open items`() =
            assertEquals(10, counts(items = 147).values.sum())

        @Test
        fun `planned engine counts are limited to the engines that weight loads can keep up to date`() =
            assertEquals(15, counts(items = 900).values.sum())

        @Test
        fun `planned engine counts exceed the initial engines before the first step`() =
            assertEquals(15, counts(items = null).values.sum())

        @Test
        fun `planned engine counts include at least three engines per model`() =
            assertEquals(9, counts(items = 1).values.sum())

        @Test
        fun `planned engine counts stay within the bounds of each zone`() =
            assertEquals(setOf(6), counts(items = 2_000, loadsPerSecond = 50.0).values.toSet())

        @Test
        fun `the cheapest zones get the remainder of engines that do not divide evenly among zones`() =
            assertEquals(mapOf("b" to 3, "d" to 2, "a" to 2, "c" to 2), counts(items = 1))

        @Test
        fun `the other zones get the share of a zone that is evacuated, within their bounds`() {
            assertEquals(mapOf("d" to 3, "a" to 3, "c" to 3), counts(items = 1, evacuated = setOf(ZoneId("b"))))
            assertEquals(
                mapOf("c" to 6),
                counts(items = 1, evacuated = setOf("a", "b", "d").mapTo(HashSet(), ::ZoneId)),
            )
        }
    }
}
