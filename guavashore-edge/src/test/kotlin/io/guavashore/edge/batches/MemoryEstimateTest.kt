package io.guavashore.edge.batches

import kotlin.math.exp
import kotlin.random.Random
import kotlin.random.asJavaRandom
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class MemoryEstimateTest {
    @Test
    fun `the peak memory is the final size of the long run when short runs end before it`() {
        val long = MemoryEstimate(currentTokens = 100, remainingTokens = 9_000)
        val short = MemoryEstimate(currentTokens = 100, remainingTokens = 500)
        assertEquals(9_100, peakTokens(listOf(long, short, short)))
    }

    @Test
    fun `the peak memory of runs with equal remaining length is the sum of their final sizes`() =
        assertEquals(3_300, peakTokens(List(3) { MemoryEstimate(currentTokens = 100, remainingTokens = 1_000) }))

    @Test
    fun `a caller's estimate of the output length is capped at the maximum output of the item`() {
        val item = batch("b", listOf(itemSpec("i", expectedTokens = 60_000))).items.single()
        assertEquals(12_000, item.expectedRemainingTokens(TOKENS_PER_EVENT))
    }

    /**
     * Simulates steps of 120 items, one step every 4.1 s, on the six engines of their model, each with 8 slots and
     * memory for 32,620 tokens. One item in twelve is five times as long as the others. Callers' estimates are accurate
     * at the median and have a log-normal error with a sigma of 0.5. The trainer waits for nine groups in ten.
     */
    @Test
    fun `placement by peak memory finishes steps sooner than by the sum of estimates, and rarely exceeds memory`() {
        val byPeak = (1..SEEDS).map { StepSimulation(it) { runs -> peakTokens(runs) }.run() }
        val bySum =
            (1..SEEDS).map {
                StepSimulation(it) { runs ->
                    runs.sumOf { run ->
                        run.currentTokens + run.remainingTokens
                    }
                }.run()
            }
        val speedup = bySum.sumOf { it.stepEvents } / byPeak.sumOf { it.stepEvents }
        assertTrue(speedup > 1.2, "speedup $speedup")
        val overloaded = byPeak.map { it.overloadedShare }.average()
        assertTrue(overloaded < 0.02, "runs exceeded the memory in $overloaded of the engine time")
    }

    /**
     * @property stepEvents average duration of a step, in events of a run
     * @property overloadedShare share of the engine time in which the runs exceeded the memory of their engine
     */
    private class Outcome(
        val stepEvents: Double,
        val overloadedShare: Double,
    )

    private class Item(
        val step: Int,
        val group: Int,
        val events: Int,
        val estimateTokens: Int,
    ) {
        var generated = 0
        var endedAt = 0

        fun estimate(): MemoryEstimate {
            val generatedTokens = generated * TOKENS_PER_EVENT
            return MemoryEstimate(
                PROMPT_TOKENS + generatedTokens,
                maxOf(estimateTokens - generatedTokens, generatedTokens / 3, TOKENS_PER_EVENT),
            )
        }
    }

    private class StepSimulation(
        seed: Int,
        private val memoryOf: (List<MemoryEstimate>) -> Int,
    ) {
        private val random = Random(seed)
        private val steps = List(STEPS) { step -> List(ITEMS) { item(step, it / GROUP_SIZE) } }
        private val waiting = ArrayList<Item>()
        private val engines = List(ENGINE_COUNT) { ArrayList<Item>() }
        private var overloadedEvents = 0

        private fun item(
            step: Int,
            group: Int,
        ): Item {
            val length = MEDIAN_EVENTS * logNormal(0.9) * (if (random.nextDouble() < 0.08) 5 else 1)
            val events = length.toInt().coerceIn(1, MAX_EVENTS)
            val estimate = (events * TOKENS_PER_EVENT * logNormal(0.5)).toInt()
            return Item(step, group, events, minOf(estimate, MAX_EVENTS * TOKENS_PER_EVENT))
        }

        private fun logNormal(sigma: Double) = exp(sigma * random.asJavaRandom().nextGaussian())

        fun run(): Outcome {
            var now = 0
            while (now < STEPS * INTERVAL || waiting.isNotEmpty() || engines.any { it.isNotEmpty() }) {
                if (now % INTERVAL == 0) {
                    steps.getOrNull(now / INTERVAL)?.let { step -> waiting += step.sortedBy { -it.estimateTokens } }
                }
                placeWaiting()
                now++
                engines.forEach { it.generateEvent(now) }
            }
            val durations = steps.mapIndexed { step, items -> stepEnd(items) - step * INTERVAL }
            return Outcome(durations.average(), overloadedEvents / (now * ENGINE_COUNT.toDouble()))
        }

        private fun stepEnd(items: List<Item>): Int {
            val groups = items.groupBy { it.group }.values.map { group -> group.maxOf { it.endedAt } }
            return groups.sorted()[(groups.size * 0.9).toInt()]
        }

        private fun ArrayList<Item>.generateEvent(now: Int) {
            forEach { it.generated++ }
            if (sumOf { it.estimate().currentTokens } > MEMORY_TOKENS) overloadedEvents++
            filter { it.generated >= it.events }.forEach { it.endedAt = now }
            removeIf { it.generated >= it.events }
        }

        private fun placeWaiting() {
            waiting.removeAll { item ->
                val engine = engines.filter { it.fits(item) }.minByOrNull { it.size }
                engine?.add(item) ?: false
            }
        }

        private fun List<Item>.fits(item: Item) =
            size < SLOTS && (isEmpty() || memoryOf((this + item).map { it.estimate() }) <= MEMORY_TOKENS * MEMORY_SHARE)
    }

    private companion object {
        const val SEEDS = 10
        const val STEPS = 4
        const val ITEMS = 120
        const val GROUP_SIZE = 8
        const val ENGINE_COUNT = 6
        const val SLOTS = 8
        const val MEMORY_TOKENS = 32_620
        const val TOKENS_PER_EVENT = 83
        const val PROMPT_TOKENS = 276
        const val MEDIAN_EVENTS = 14.2
        const val MAX_EVENTS = 153

        /** Interval between steps in events: 4.1 s at 50 ms per event. */
        const val INTERVAL = 82
        val MEMORY_SHARE = PlacementConfig().maxMemoryShare
    }
}
