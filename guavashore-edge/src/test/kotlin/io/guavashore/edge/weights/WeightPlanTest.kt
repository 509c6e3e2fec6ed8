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

    /** Guards against items that never run beside idle engines, since no engine serves their model. */
    @Nested
    inner class `fewer engines than models` {
        private val sixModels = List(6) { ModelVersions(ModelId("m$it"), newest = 2, required = 1) }
        private val allVersions = sixModels.associate { it.model to 1L }

        private fun holding(
            id: Int,
            versions: Map<ModelId, Long> = allVersions,
        ) = EngineSnapshot(TargetId("e$id"), null, versions, running = 0, isLoading = false, held = versions.keys)

        /** [engines] with the models that they serve after [before]. */
        private fun assign(
            engines: List<EngineSnapshot>,
            before: List<EngineSnapshot> = emptyList(),
            models: List<ModelVersions> = sixModels,
        ): List<EngineSnapshot> {
            val known = before.associateBy { it.id }
            val current = before.mapNotNull { engine -> engine.model?.let { engine.id to it } }.toMap()
            val assigned = assignModels(engines, models, current)
            val withModel =
                engines.map {
                    it.copy(model = assigned[it.id], furtherModels = known[it.id]?.furtherModels.orEmpty())
                }
            val further = coverModels(withModel, models)
            return withModel.map { it.copy(furtherModels = further[it.id].orEmpty()) }
        }

        private fun served(engines: List<EngineSnapshot>) = engines.flatMapTo(HashSet()) { it.models }

        @Test
        fun `the model of an engine that is lost is served by another one`() {
            val before = assign(List(6) { holding(it) })
            val after = assign(before.drop(1), before)
            assertEquals(allVersions.keys, served(after))
            assertTrue(
                before.drop(1).zip(after).all { (old, new) ->
                    old.model == new.model
                },
                "an engine changed its model",
            )
        }

        @Test
        fun `models are spread evenly over two engines`() =
            assertEquals(listOf(3, 3), assign(List(2) { holding(it) }).map { it.models.size })

        @Test
        fun `engines that come back take over models until each serves one`() {
            var engines = assign(List(2) { holding(it) })
            for (count in 3..6) {
                engines = assign(engines + holding(count), engines)
                val most = (sixModels.size + count - 1) / count
                assertEquals(allVersions.keys, served(engines), "$count engines")
                assertTrue(engines.all { it.models.size <= most }, "$count engines: ${engines.map { it.models }}")
            }
        }

        @Test
        fun `an engine keeps its further models while nothing else changes`() {
            val before = assign(List(4) { holding(it) })
            assertEquals(before, assign(before, before))
        }

        @Test
        fun `an engine is not assigned to a model that it does not hold`() {
            val all = holding(0)
            val onlyFirst =
                List(3) {
                    holding(
                        it + 1,
                        versions =
                            allVersions.filterKeys { model ->
                                model.value == "m0"
                            },
                    )
                }
            val engines = assign(onlyFirst + all)
            assertEquals(allVersions.keys, served(engines))
            assertEquals(List(3) { setOf(ModelId("m0")) }, engines.take(3).map { it.models })
        }

        @Test
        fun `an engine loads the versions of all models that it serves, one at a time`() {
            val newer = sixModels.map { it.copy(newest = 4, required = 3) }
            var engines = assign(List(2) { holding(it) }, models = newer)
            repeat(3) {
                val loads = planLoads(engines, newer, WeightLoadConfig(maxConcurrentLoads = 9))
                assertEquals(2, loads.size)
                engines =
                    engines.map { engine ->
                        val load = loads.single { it.engine == engine.id }
                        engine.copy(versions = engine.versions + (load.model to load.version))
                    }
            }
            assertEquals(emptyList(), planLoads(engines, newer))
        }

        /** Load pattern: engines are lost and come back at any time; some hold only a part of the models. */
        @Test
        fun `every model that an engine holds is served on random schedules`() {
            repeat(SEEDS) { seed ->
                val random = Random(seed)
                val pool =
                    List(8) { id ->
                        holding(
                            id,
                            if (random.nextInt(3) >
                                0
                            ) {
                                allVersions
                            } else {
                                allVersions.filter { random.nextBoolean() }
                            },
                        )
                    }.filter { it.versions.isNotEmpty() }
                var engines = emptyList<EngineSnapshot>()
                repeat(20) {
                    val listed = pool.filter { random.nextInt(3) > 0 }
                    engines = assign(listed, engines)
                    val held = listed.flatMapTo(HashSet()) { it.versions.keys }
                    assertEquals(held, served(engines), "seed $seed")
                    assertTrue(engines.all { engine -> engine.models.all { it in engine.versions } }, "seed $seed")
                }
            }
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
