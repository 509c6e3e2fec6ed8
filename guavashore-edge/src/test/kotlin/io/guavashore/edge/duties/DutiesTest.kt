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

class DutiesTest {
    @Nested
    inner class `time of day` {
        private val clock = VirtualClock()
        private var wallMs = 1_700_000_000_000L
        private val time = TrueTime({ wallMs }, clock)

        @Test
        fun `does not follow a single clock that jumps`() {
            val before = wallMs
            listOf("a", "b", "c").forEach { time.onPulse(VmId(it), before) }
            wallMs += 2_400
            assertEquals(before, time.nowMs())
        }

        @Test
        fun `does not follow peers of which a third jump`() {
            listOf("a" to 0L, "b" to -2_400L, "c" to 1L, "d" to 0L).forEach { (vm, off) ->
                time.onPulse(
                    VmId(vm),
                    wallMs + off,
                )
            }
            assertEquals(wallMs, time.nowMs())
        }

        @Test
        fun `is the own one without peers`() = assertEquals(wallMs, time.nowMs())

        @Test
        fun `forgets peers that have gone silent`() {
            listOf("a", "b").forEach { time.onPulse(VmId(it), wallMs - 9_000) }
            clock.advanceMs(6_000)
            assertEquals(wallMs, time.nowMs())
        }
    }

    @Nested
    inner class `usage` {
        private val weavers = OrganisationId("weavers")
        private var nowMs = 50_000L
        private val book = UsageBook(VmId("a"), Incarnation(1), windowMs = 5_000) { nowMs }

        @Test
        fun `is counted in the window in which the request began`() {
            book.count(weavers)
            nowMs += 5_000
            book.count(weavers)
            assertEquals(mapOf(weavers to 1L), book.total(10))
            assertEquals(mapOf(weavers to 1L), book.total(11))
        }

        @Test
        fun `of peers counts once, however often it is told`() {
            repeat(3) { book.merge(VmId("b"), Incarnation(1), listOf(UsageCount(10, weavers, 4))) }
            book.merge(VmId("b"), Incarnation(1), listOf(UsageCount(10, weavers, 3)))
            assertEquals(mapOf(weavers to 4L), book.total(10))
        }

        @Test
        fun `of a restarted peer adds to what it counted before`() {
            book.merge(VmId("b"), Incarnation(1), listOf(UsageCount(10, weavers, 4)))
            book.merge(VmId("b"), Incarnation(2), listOf(UsageCount(10, weavers, 2)))
            assertEquals(mapOf(weavers to 6L), book.total(10))
        }
    }

    /** Load: 34 engines enter themselves over four seconds; an order for 12 would have taken 22 of them away. */
    @Test
    fun `no engines are ordered while others still appear`() {
        val clock = VirtualClock()
        val counts = SettledCounts(clock)
        val service = ServiceId("s")
        for (engines in 2..34) {
            assertEquals(false, counts.isSettled(service, engines))
            clock.advanceMs(125)
        }
        clock.advanceMs(3_000)
        assertEquals(true, counts.isSettled(service, 34))
    }

    @Nested
    inner class `engines wanted` {
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
        ): Map<String, Int> {
            val demand =
                EngineDemand(
                    slots = 12,
                    models = 3,
                    mostOpenItems = items,
                    presentEngines = present,
                    loadsPerSecond = loadsPerSecond,
                    versionEveryMs = 3_750,
                )
            return planScale(ServiceId("s"), spec, demand).associate { it.zone.value to it.count }
        }

        @Test
        fun `have slots for the items that were open at once`() = assertEquals(10, counts(items = 147).values.sum())

        @Test
        fun `are no more than loads can keep up with`() = assertEquals(15, counts(items = 900).values.sum())

        @Test
        fun `are started ahead of the first step`() = assertEquals(15, counts(items = null).values.sum())

        @Test
        fun `suffice for each model to load while it serves`() = assertEquals(9, counts(items = 1).values.sum())

        @Test
        fun `stay within each zone's bounds`() =
            assertEquals(setOf(6), counts(items = 2_000, loadsPerSecond = 50.0).values.toSet())

        @Test
        fun `are more where they are cheap`() =
            assertEquals(mapOf("b" to 3, "d" to 2, "a" to 2, "c" to 2), counts(items = 1))
    }
}
