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
    ) = EngineSnapshot(TargetId("e$id"), model, models.associateWith { version }, running, isLoading)

    private fun versions(
        newest: Long,
        required: Long = newest - 1,
    ) = models.map { ModelVersions(it, newest, required) }

    @Nested
    inner class `model assignment` {
        @Test
        fun `engines are assigned to models in shares that differ by at most one`() {
            val assigned = assignModels(List(8) { engine(it) }, versions(1), emptyMap())
            assertEquals(
                listOf(2, 3, 3),
                assigned.values
                    .groupBy { it }
                    .values
                    .map { it.size }
                    .sorted(),
            )
        }

        @Test
        fun `at most two engines change their model when two engines leave`() {
            val before = assignModels(List(9) { engine(it) }, versions(1), emptyMap())
            val left = (0..8).filter { before[TargetId("e$it")] != models[0] || it == 0 }.map { engine(it) }
            val after = assignModels(left, versions(1), before)
            val moved = left.count { before[it.id] != after[it.id] }
            assertTrue(moved <= 2, "$moved engines changed their model, expected at most 2")
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
    inner class `load plan` {
        private val oneModel = versions(newest = 5).take(1)

        @Test
        fun `an engine that no future batch could use loads immediately even if it is busy`() {
            val engines =
                listOf(engine(1, models[0], version = 3, running = 9), engine(2, models[0], version = 4, running = 2))
            assertEquals(listOf("e1"), planLoads(engines, oneModel).map { it.engine.value })
        }

        @Test
        fun `no load is planned for engines at the newest known version even if a batch requires a later one`() {
            val engines = List(3) { engine(it, models[it], version = 1) }
            assertEquals(emptyList(), planLoads(engines, versions(newest = 1, required = 3)))
        }

        @Test
        fun `an idle engine loads the newest version early while enough other engines serve`() {
            val engines = List(3) { engine(it, models[0], version = 4, running = if (it == 1) 0 else 4) }
            assertEquals(listOf("e1"), planLoads(engines, oneModel).map { it.engine.value })
        }

        @Test
        fun `only half of the idle engines that are one version behind load concurrently`() {
            val engines = List(4) { engine(it, models[0], version = 4) }
            assertEquals(2, planLoads(engines, oneModel).size)
        }

        @Test
        fun `a running load counts towards the limit of concurrent loads`() {
            val engines = List(4) { engine(it, models[0], version = 1, isLoading = it == 0) }
            assertEquals(1, planLoads(engines, oneModel).size)
        }
    }

    /** Simulates about 10,000 s in which three trainers publish a version every 4 s and a load takes 0.9 s. */
    @Test
    fun `every model has an engine with an accepted version on random schedules`() {
        repeat(SEEDS) { seed ->
            val random = Random(seed)
            var engines = List(9) { engine(it) }
            var assigned = emptyMap<TargetId, ModelId>()
            for (version in 2L..12L) {
                val modelVersions = versions(version)
                assigned = assignModels(engines, modelVersions, assigned)
                engines = engines.map { it.copy(model = assigned[it.id], running = random.nextInt(3)) }
                repeat(4) {
                    val loads = planLoads(engines, modelVersions).associateBy { it.engine }
                    engines =
                        engines.map { engine ->
                            val load = loads[engine.id] ?: return@map engine.copy(running = random.nextInt(2))
                            engine.copy(versions = engine.versions + (load.model to load.version))
                        }
                }
                models.forEach { model ->
                    val serving = engines.count { it.model == model && it.versions.getValue(model) >= version - 1 }
                    assertTrue(serving > 0, "seed $seed: no engine serves version ${version - 1} or later of $model")
                }
            }
        }
    }

    private companion object {
        const val SEEDS = 250
    }
}
