package io.guavashore.edge.batches

import org.junit.jupiter.api.Nested
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

class PlacementTest {
    @Nested
    inner class `a step arrives whole` {
        @Test
        fun `the longest items start first`() {
            val step =
                batch("b", listOf(itemSpec("short", expectedTokens = 300), itemSpec("long", expectedTokens = 9_000)))
            val placed = place(step.items.map(::demand), listOf(engine("e", slots = 1)))
            assertEquals(listOf("long"), placed.map { it.item.spec.id.value })
        }

        @Test
        fun `items spread over engines of equal pace`() {
            val step = batch("b", List(24) { itemSpec("i$it") })
            val placed = place(step.items.map(::demand), listOf(engine("e1"), engine("e2"), engine("e3")))
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
        fun `a long item does not go to a slow engine while a fast one has room`() {
            val step = batch("b", listOf(itemSpec("long", expectedTokens = 9_000)))
            val engines = listOf(engine("slow", msPerEvent = 130.0), engine("fast", running = 11))
            assertEquals("fast", place(step.items.map(::demand), engines).single().engine.value)
        }

        @Test
        fun `the batch that is due first goes first`() {
            val late = batch("late", listOf(itemSpec("l")), dueAtMs = 9_000)
            val early = batch("early", listOf(itemSpec("e")), dueAtMs = 5_000)
            val placed = place((late.items + early.items).map(::demand), listOf(engine("e", slots = 1)))
            assertEquals(
                "e",
                placed
                    .single()
                    .item.spec.id.value,
            )
        }
    }

    @Nested
    inner class `an engine takes no item` {
        private val step = batch("b", listOf(itemSpec("i")), minVersion = 3)

        private fun placedOn(engine: EngineView) = place(step.items.map(::demand), listOf(engine))

        @Test
        fun `with weights older than the batch accepts`() =
            assertEquals(emptyList(), placedOn(engine("e", version = 2)))

        @Test
        fun `without a free slot`() = assertEquals(emptyList(), placedOn(engine("e", version = 3, running = 12)))

        @Test
        fun `whose memory the estimates fill`() {
            val full = engine("e", version = 3, running = 3, expectedTokens = 24_000, memoryTokens = 84_000)
            assertEquals(emptyList(), placedOn(full))
        }

        @Test
        fun `unless its memory is free again by then`() {
            val oneLong = engine("e", version = 3, running = 1, expectedTokens = 27_000, memoryTokens = 32_000)
            assertEquals(1, placedOn(oneLong).size)
        }

        @Test
        fun `that loads, leaves or is suspected`() =
            assertEquals(emptyList(), placedOn(engine("e", version = 3, isUsable = false)))
    }

    @Nested
    inner class `an engine turns slow` {
        private val step = batch("b", listOf(itemSpec("i", expectedTokens = 6_300)))
        private val current = engine("slow", running = 5, msPerEvent = 140.0)

        @Test
        fun `a run with much to do moves to a faster one`() {
            val better = betterEngine(demand(step.items[0]), current, listOf(current, engine("fast")))
            assertEquals("fast", assertNotNull(better).id.value)
        }

        @Test
        fun `a run that is nearly done stays`() {
            val nearlyDone = batch("n", listOf(itemSpec("n", expectedTokens = 126)))
            assertNull(betterEngine(demand(nearlyDone.items[0]), current, listOf(current, engine("fast"))))
        }

        @Test
        fun `a run leaves an engine that begins to load weights`() {
            val loading = engine("loading", running = 5, isUsable = false).copy(isLoading = true)
            assertNotNull(betterEngine(demand(step.items[0]), loading, listOf(loading, engine("other"))))
        }

        @Test
        fun `a run stays if others are hardly faster`() =
            assertNull(
                betterEngine(demand(step.items[0]), current, listOf(current, engine("other", msPerEvent = 100.0))),
            )
    }

    /**
     * Load: steps of 52 items with skewed lengths on four engines, of which one is 1.3 times slower. Time of a step is
     * the finish of its last item.
     */
    @Test
    fun `a step is done sooner than with arrival order and round robin`() {
        val gains = (1..20).map { seed -> stepTimeMs(seed, inOrder = true) / stepTimeMs(seed, inOrder = false) }
        assertTrue(gains.average() > 1.1, "gain ${gains.average()}")
    }

    private fun stepTimeMs(
        seed: Int,
        inOrder: Boolean,
    ): Double {
        val random = Random(seed)
        val lengths = List(52) { 26 * (if (random.nextDouble() < 0.08) 5 else 1) * (0.5 + random.nextDouble()) }
        val paces = listOf(40.0, 40.0, 40.0, 52.0)
        val slots = paces.flatMap { pace -> List(12) { Slot(pace) } }
        if (inOrder) {
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
