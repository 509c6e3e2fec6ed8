package io.guavashore.edge.batches

import kotlin.math.exp
import kotlin.random.Random
import kotlin.random.asJavaRandom
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class RunEstimateTest {
    @Test
    fun `short runs give their memory back before long ones need theirs`() {
        val long = RunEstimate(heldTokens = 100, leftTokens = 9_000)
        val short = RunEstimate(heldTokens = 100, leftTokens = 500)
        assertEquals(9_100, peakTokens(listOf(long, short, short)))
    }

    @Test
    fun `runs of one length need all their memory at once`() =
        assertEquals(3_300, peakTokens(List(3) { RunEstimate(heldTokens = 100, leftTokens = 1_000) }))

    @Test
    fun `a caller's estimate counts up to the item's bound`() {
        val item = batch("b", listOf(itemSpec("i", expectedTokens = 60_000))).items.single()
        assertEquals(12_000, item.expectedTokensLeft(TOKENS_PER_EVENT))
    }

    /**
     * Load: steps of 120 items, one each 4.1 s, on the six engines of their model, with 8 slots and memory for 32,620
     * tokens. One item in twelve is five times as long; callers' estimates are right at the median and spread by half.
     * The trainer waits for nine groups in ten.
     */
    @Test
    fun `a step takes less time than with the sum of all estimates, and fits into memory`() {
        val byPeak = (1..SEEDS).map { Steps(it) { runs -> peakTokens(runs) }.play() }
        val bySum =
            (1..SEEDS).map {
                Steps(it) { runs ->
                    runs.sumOf { run ->
                        run.heldTokens + run.leftTokens
                    }
                }.play()
            }
        val gain = bySum.sumOf { it.stepEvents } / byPeak.sumOf { it.stepEvents }
        assertTrue(gain > 1.2, "gain $gain")
        val overfull = byPeak.map { it.overfullShare }.average()
        assertTrue(overfull < 0.02, "memory was too small in $overfull of the engines' time")
    }

    /** Time of a mean step in events, and the share of the engines' time in which runs passed their engine's memory. */
    private class Played(
        val stepEvents: Double,
        val overfullShare: Double,
    )

    private class Item(
        val step: Int,
        val group: Int,
        val events: Int,
        val estimateTokens: Int,
    ) {
        var made = 0
        var endedAt = 0

        fun estimate(): RunEstimate {
            val done = made * TOKENS_PER_EVENT
            return RunEstimate(PROMPT_TOKENS + done, maxOf(estimateTokens - done, done / 3, TOKENS_PER_EVENT))
        }
    }

    private class Steps(
        seed: Int,
        private val need: (List<RunEstimate>) -> Int,
    ) {
        private val random = Random(seed)
        private val all = List(STEPS) { step -> List(ITEMS) { item(step, it / GROUP) } }
        private val waiting = ArrayList<Item>()
        private val engines = List(ENGINES_HELD) { ArrayList<Item>() }
        private var overfull = 0

        private fun item(
            step: Int,
            group: Int,
        ): Item {
            val length = MEDIAN_EVENTS * spread(0.9) * (if (random.nextDouble() < 0.08) 5 else 1)
            val events = length.toInt().coerceIn(1, MOST_EVENTS)
            val estimate = (events * TOKENS_PER_EVENT * spread(0.5)).toInt()
            return Item(step, group, events, minOf(estimate, MOST_EVENTS * TOKENS_PER_EVENT))
        }

        private fun spread(by: Double) = exp(by * random.asJavaRandom().nextGaussian())

        fun play(): Played {
            var now = 0
            while (now < STEPS * STEP_EVENTS || waiting.isNotEmpty() || engines.any { it.isNotEmpty() }) {
                if (now % STEP_EVENTS == 0) {
                    all.getOrNull(now / STEP_EVENTS)?.let { step -> waiting += step.sortedBy { -it.estimateTokens } }
                }
                fill()
                now++
                engines.forEach { it.makeEvent(now) }
            }
            val steps = all.mapIndexed { step, items -> stepEnd(items) - step * STEP_EVENTS }
            return Played(steps.average(), overfull / (now * ENGINES_HELD.toDouble()))
        }

        private fun stepEnd(items: List<Item>): Int {
            val groups = items.groupBy { it.group }.values.map { group -> group.maxOf { it.endedAt } }
            return groups.sorted()[(groups.size * 0.9).toInt()]
        }

        private fun ArrayList<Item>.makeEvent(now: Int) {
            forEach { it.made++ }
            if (sumOf { it.estimate().heldTokens } > MEMORY_TOKENS) overfull++
            filter { it.made >= it.events }.forEach { it.endedAt = now }
            removeIf { it.made >= it.events }
        }

        private fun fill() {
            waiting.removeAll { item ->
                val engine = engines.filter { it.fits(item) }.minByOrNull { it.size }
                engine?.add(item) ?: false
            }
        }

        private fun List<Item>.fits(item: Item) =
            size < SLOTS && (isEmpty() || need((this + item).map { it.estimate() }) <= MEMORY_TOKENS * MEMORY_SHARE)
    }

    private companion object {
        const val SEEDS = 10
        const val STEPS = 4
        const val ITEMS = 120
        const val GROUP = 8
        const val ENGINES_HELD = 6
        const val SLOTS = 8
        const val MEMORY_TOKENS = 32_620
        const val TOKENS_PER_EVENT = 83
        const val PROMPT_TOKENS = 276
        const val MEDIAN_EVENTS = 14.2
        const val MOST_EVENTS = 153

        /** Events of 50 ms in 4.1 s. */
        const val STEP_EVENTS = 82
        val MEMORY_SHARE = PlacementTerms().memoryShare
    }
}
