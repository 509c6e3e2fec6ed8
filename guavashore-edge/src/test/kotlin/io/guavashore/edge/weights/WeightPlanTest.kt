package io.guavashore.edge.weights

import io.guavashore.api.TargetId
import io.guavashore.edge.declared.ModelId
import org.junit.jupiter.api.Nested
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class WeightPlanTest {
    private val models = List(3) { ModelId("m$it") }

    private fun engine(
        id: Int,
        model: ModelId? = null,
        version: Long = 1,
        running: Int = 0,
        isLoading: Boolean = false,
    ) = EngineLoad(TargetId("e$id"), model, models.associateWith { version }, running, isLoading)

    private fun versions(
        newest: Long,
        required: Long = newest - 1,
    ) = models.map { ModelVersions(it, newest, required) }

    @Nested
    inner class `engines are dealt out` {
        @Test
        fun `in parts that differ by one at most`() {
            val dealt = dealModels(List(8) { engine(it) }, versions(1), emptyMap())
            assertEquals(
                listOf(2, 3, 3),
                dealt.values
                    .groupBy { it }
                    .values
                    .map { it.size }
                    .sorted(),
            )
        }

        @Test
        fun `so that few change their model when some leave`() {
            val before = dealModels(List(9) { engine(it) }, versions(1), emptyMap())
            val left = (0..8).filter { before[TargetId("e$it")] != models[0] || it == 0 }.map { engine(it) }
            val after = dealModels(left, versions(1), before)
            val moved = left.count { before[it.id] != after[it.id] }
            assertTrue(moved <= 2, "moved $moved")
            assertTrue(
                after.values
                    .groupBy { it }
                    .values
                    .maxOf { it.size } -
                    after.values
                        .groupBy { it }
                        .values
                        .minOf { it.size } <=
                    1,
            )
        }
    }

    @Nested
    inner class `a version is named` {
        private val one = versions(newest = 5).take(1)

        @Test
        fun `an engine that no coming batch could use loads at once though it is busy`() {
            val engines =
                listOf(engine(1, models[0], version = 3, running = 9), engine(2, models[0], version = 4, running = 2))
            assertEquals(listOf("e1"), planLoads(engines, one).map { it.engine.value })
        }

        @Test
        fun `no engine is ordered to a version that it holds while a batch asks for one that is not known yet`() {
            val engines = List(3) { engine(it, models[it], version = 1) }
            assertEquals(emptyList(), planLoads(engines, versions(newest = 1, required = 3)))
        }

        @Test
        fun `an idle engine loads ahead while enough others serve`() {
            val engines = List(3) { engine(it, models[0], version = 4, running = if (it == 1) 0 else 4) }
            assertEquals(listOf("e1"), planLoads(engines, one).map { it.engine.value })
        }

        @Test
        fun `engines that are one behind do not all load at once`() {
            val engines = List(4) { engine(it, models[0], version = 4) }
            assertEquals(2, planLoads(engines, one).size)
        }

        @Test
        fun `no more load at once than do not slow each other`() {
            val engines = List(4) { engine(it, models[0], version = 1, isLoading = it == 0) }
            assertEquals(1, planLoads(engines, one).size)
        }
    }

    /** Load: three trainers name a version every four seconds; a load takes 0.9 s. */
    @Test
    fun `every step finds an engine that serves it, in ten thousand random seconds`() {
        repeat(SEEDS) { seed ->
            val random = Random(seed)
            var engines = List(9) { engine(it) }
            var dealt = emptyMap<TargetId, ModelId>()
            for (version in 2L..12L) {
                val wanted = versions(version)
                dealt = dealModels(engines, wanted, dealt)
                engines = engines.map { it.copy(model = dealt[it.id], running = random.nextInt(3)) }
                repeat(4) {
                    val loads = planLoads(engines, wanted).associateBy { it.engine }
                    engines =
                        engines.map { engine ->
                            val load = loads[engine.id] ?: return@map engine.copy(running = random.nextInt(2))
                            engine.copy(versions = engine.versions + (load.model to load.version))
                        }
                }
                models.forEach { model ->
                    val able = engines.count { it.model == model && it.versions.getValue(model) >= version - 1 }
                    assertTrue(able > 0, "seed $seed version $version model $model")
                }
            }
        }
    }

    private companion object {
        const val SEEDS = 250
    }
}
