package io.guavashore.edge.batches

import io.guavashore.edge.declared.SoftwareVersion
import org.junit.jupiter.api.Nested
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

class PlacementTest {
    @Nested
    inner class `order and choice of engine` {
        @Test
        fun `the longest items of a batch are placed first`() {
            val step =
                batch("b", listOf(itemSpec("short", expectedTokens = 300), itemSpec("long", expectedTokens = 9_000)))
            val placed = placeItems(step.items.map(::demand), listOf(engine("e", slots = 1)))
            assertEquals(listOf("long"), placed.map { it.item.spec.id.value })
        }

        @Test
        fun `items are spread evenly over engines of equal pace`() {
            val step = batch("b", List(24) { itemSpec("i$it") })
            val placed = placeItems(step.items.map(::demand), listOf(engine("e1"), engine("e2"), engine("e3")))
            assertEquals(
                setOf(8),
                placed
                    .groupBy { it.engine }
                    .values
                    .map { it.size }
                    .toSet(),
            )
        }

        @Test
        fun `a long item is placed on a fast engine with a free slot rather than on a slow one`() {
            val step = batch("b", listOf(itemSpec("long", expectedTokens = 9_000)))
            val engines = listOf(engine("slow", msPerEvent = 130.0), engine("fast", running = 11))
            assertEquals("fast", placeItems(step.items.map(::demand), engines).single().engine.value)
        }

        @Test
        fun `a step that meets a cold zone fills the warm engines first, and cold ones get what they bear`() {
            val step = batch("b", List(128) { itemSpec("i$it") })
            val warm = List(12) { engine("warm$it", slots = 8) }
            val cold = List(12) { engine("cold$it", slots = 8).copy(isCold = true, startsAllowed = 1) }
            val few = placeItems(step.items.take(96).map(::demand), warm + cold)
            assertEquals(96, few.count { it.engine.value.startsWith("warm") })
            val all = placeItems(step.items.map(::demand), warm + cold)
            assertEquals(
                96 to 12,
                all.count { it.engine.value.startsWith("warm") } to all.count { it.engine.value.startsWith("cold") },
            )
            val running = demand(step.items.first())
            assertNull(betterEngine(running, engine("slow", running = 1, msPerEvent = 900.0), cold))
        }

        @Test
        fun `items of the batch that is due first are placed first`() {
            val late = batch("late", listOf(itemSpec("l")), dueAtMs = 9_000)
            val early = batch("early", listOf(itemSpec("e")), dueAtMs = 5_000)
            val placed = placeItems((late.items + early.items).map(::demand), listOf(engine("e", slots = 1)))
            assertEquals(
                "e",
                placed
                    .single()
                    .item.spec.id.value,
            )
        }
    }

    @Nested
    inner class `eligible engines` {
        private val step = batch("b", listOf(itemSpec("i")), minVersion = 3)

        private fun placedOn(engine: EngineView) = placeItems(step.items.map(::demand), listOf(engine))

        @Test
        fun `no item is placed on an engine whose weights are older than the minimum version`() =
            assertEquals(emptyList(), placedOn(engine("e", version = 2)))

        @Test
        fun `an engine that limits its requests gets as many items as it has room for, the others go elsewhere`() {
            val items = batch("many", List(9) { itemSpec("m$it") }).items.map(::demand)
            val limited = engine("limited").copy(startsAllowed = 2)
            val placed = placeItems(items, listOf(limited, engine("e", msPerEvent = 90.0))).map { it.engine.value }
            assertEquals(mapOf("limited" to 2, "e" to 7), placed.groupingBy { it }.eachCount())
            assertEquals(emptyList(), placeItems(items, listOf(limited.copy(startsAllowed = 0))))
        }

        @Test
        fun `no item is placed on an engine without a free slot`() =
            assertEquals(emptyList(), placedOn(engine("e", version = 3, running = 12)))

        @Test
        fun `no item is placed on an engine whose memory the estimated runs would exceed`() {
            val full = engine("e", version = 3, running = 3, expectedTokens = 24_000, memoryTokens = 84_000)
            assertEquals(emptyList(), placedOn(full))
        }

        @Test
        fun `an item is placed on an engine if the item frees its memory before a longer run needs it`() {
            val busyEngine = engine("e", version = 3, running = 1, expectedTokens = 27_000, memoryTokens = 32_000)
            assertEquals(1, placedOn(busyEngine).size)
        }

        @Test
        fun `no item is placed on an engine that loads weights, leaves or is suspected`() =
            assertEquals(emptyList(), placedOn(engine("e", version = 3, isUsable = false)))
    }

    @Nested
    inner class `moves of running items` {
        private val step = batch("b", listOf(itemSpec("i", expectedTokens = 6_300)))
        private val current = engine("slow", running = 5, msPerEvent = 140.0)

        @Test
        fun `a run with much output left moves from a slow engine to a faster one`() {
            val better = betterEngine(demand(step.items[0]), current, listOf(current, engine("fast")))
            assertEquals("fast", assertNotNull(better).id.value)
        }

        @Test
        fun `a run that is nearly done stays on a slow engine`() {
            val nearlyDone = batch("n", listOf(itemSpec("n", expectedTokens = 126)))
            assertNull(betterEngine(demand(nearlyDone.items[0]), current, listOf(current, engine("fast"))))
        }

        @Test
        fun `a run moves off an engine that loads weights`() {
            val loading = engine("loading", running = 5, isUsable = false).copy(isLoading = true)
            assertNotNull(betterEngine(demand(step.items[0]), loading, listOf(loading, engine("other"))))
        }

        @Test
        fun `a run stays on its engine if other engines are only slightly faster`() =
            assertNull(
                betterEngine(demand(step.items[0]), current, listOf(current, engine("other", msPerEvent = 100.0))),
            )
    }

    @Nested
    inner class `software versions` {
        private val item =
            batch("s", listOf(itemSpec("s"))).items.single().apply {
                progress.add(TextEvent(1, "text", version = 1, SoftwareVersion("v1")))
                waitingSinceMs = 1_000
            }
        private val other = engine("other", software = "v2")
        private val full = engine("full", running = 12)

        private fun restarts(
            nowMs: Long,
            vararg engines: EngineView,
        ) = itemsToRestart(listOf(demand(item)), engines.toList(), nowMs)

        @Test
        fun `an item goes on only at the software version that began its text`() {
            assertEquals(emptyList(), placeItems(listOf(demand(item)), listOf(other)))
            val placed = placeItems(listOf(demand(item)), listOf(other, engine("same", msPerEvent = 400.0)))
            assertEquals("same", placed.single().engine.value)
        }

        @Test
        fun `a run does not move to a faster engine of another software version`() {
            val slow = engine("slow", running = 5, msPerEvent = 400.0)
            assertNull(betterEngine(demand(item), slow, listOf(slow, other)))
        }

        @Test
        fun `a text is discarded at once if no engine has its software version`() =
            assertEquals(listOf(item), restarts(nowMs = 1_000, other))

        @Test
        fun `a text is discarded if the engines of its software version stay full while another one is free`() {
            assertEquals(emptyList(), restarts(nowMs = 1_300, full, other))
            assertEquals(listOf(item), restarts(nowMs = 1_600, full, other))
            assertEquals(emptyList(), restarts(nowMs = 1_600, full, other.copy(isUsable = false)))
        }

        @Test
        fun `a text is kept while no engine is listed, as on a VM that has just taken over`() =
            assertEquals(emptyList(), restarts(nowMs = 9_000))
    }

    /**
     * Simulates steps of 52 items with skewed lengths on four engines, one of which is 1.3 times slower. The duration
     * of a step is the time at which its last item finishes.
     */
    @Test
    fun `longest-first placement finishes a step sooner than arrival order with round robin`() {
        val speedups =
            (1..20).map { seed -> stepTimeMs(seed, roundRobin = true) / stepTimeMs(seed, roundRobin = false) }
        assertTrue(speedups.average() > 1.1, "average speedup ${speedups.average()}")
    }

    private fun stepTimeMs(
        seed: Int,
        roundRobin: Boolean,
    ): Double {
        val random = Random(seed)
        val lengths = List(52) { 26 * (if (random.nextDouble() < 0.08) 5 else 1) * (0.5 + random.nextDouble()) }
        val paces = listOf(40.0, 40.0, 40.0, 52.0)
        val slots = paces.flatMap { pace -> List(12) { Slot(pace) } }
        if (roundRobin) {
            lengths.forEachIndexed { index, events -> slots[index % slots.size].add(events) }
        } else {
            lengths.sortedDescending().forEach { events -> slots.minBy { it.freeAtMs + events * it.pace }.add(events) }
        }
        return slots.maxOf { it.freeAtMs }
    }

    private class Slot(
        val pace: Double,
    ) {
        var freeAtMs = 0.0

        fun add(events: Double) {
            freeAtMs += events * pace
        }
    }
}
