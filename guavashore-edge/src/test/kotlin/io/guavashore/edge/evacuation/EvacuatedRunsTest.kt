package io.guavashore.edge.evacuation

import io.guavashore.api.Endpoint
import io.guavashore.api.TargetId
import io.guavashore.api.ZoneId
import io.guavashore.edge.batches.BatchState
import io.guavashore.edge.batches.ENGINES
import io.guavashore.edge.batches.EnginePace
import io.guavashore.edge.batches.EngineStatus
import io.guavashore.edge.batches.ItemCall
import io.guavashore.edge.batches.ItemDispatcher
import io.guavashore.edge.batches.ItemPhase
import io.guavashore.edge.batches.MODEL
import io.guavashore.edge.batches.UNUSED_PROTOCOL
import io.guavashore.edge.batches.batch
import io.guavashore.edge.batches.declaration
import io.guavashore.edge.batches.itemSpec
import io.guavashore.edge.declared.EngineSpec
import io.guavashore.edge.declared.ServiceSpec
import io.guavashore.edge.declared.SoftwareVersion
import io.guavashore.edge.declared.TargetEntry
import io.guavashore.edge.declared.WeightedService
import io.guavashore.edge.targets.TargetConnectionPool
import io.guavashore.edge.targets.TargetDirectory
import io.guavashore.platform.EntryChange
import io.guavashore.platform.StoredEntry
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import kotlin.test.Test
import kotlin.test.assertEquals

/** Runs of a step in a zone that is evacuated; engines are named after their zone and have two slots each. */
class EvacuatedRunsTest {
    private val evacuated = HashSet<ZoneId>()
    private val directory = TargetDirectory(::engine, { 0 }, { false }, isEvacuated = { it in evacuated })
    private val step: BatchState = batch("b1", List(ITEMS) { itemSpec("i$it") })
    private val declaration =
        declaration(
            listOf(WeightedService(ENGINES, 1)),
            mapOf(ENGINES to ServiceSpec(ENGINES, 100, EngineSpec(SLOTS, 0, listOf(MODEL)))),
        )

    private fun engine(entry: StoredEntry) =
        TargetEntry(
            id = TargetId(entry.name),
            service = ENGINES,
            endpoint = Endpoint("127.0.0.1", 1),
            zone = ZoneId(entry.name.take(1)),
            slots = SLOTS,
            isLeaving = false,
            software = SoftwareVersion("v1"),
            versions = mapOf(MODEL to 1L),
        )

    private fun list(vararg engines: String) =
        engines.forEach { directory.apply(EntryChange(StoredEntry(it, 1, "{}"), deleted = false)) }

    /** Runs never get beyond the opening of their connection. */
    private fun dispatcher(scope: CoroutineScope): ItemDispatcher {
        val connections = TargetConnectionPool({ _, _ -> awaitCancellation() }, UNUSED_PROTOCOL.metadata)
        val pace = EnginePace()
        val call = ItemCall(UNUSED_PROTOCOL, connections, directory, pace, { _, _ -> }, { 0 })
        return ItemDispatcher(scope, call, directory, pace, EngineStatus({ false }, { _, _ -> true }), { 0 }, { 0 })
    }

    /** Takes a step, and another one for the items that it has moved. */
    private fun TestScope.settle(dispatcher: ItemDispatcher) =
        repeat(2) {
            dispatcher.step(step.items.filter { it.phase == ItemPhase.WAITING }, declaration)
            testScheduler.runCurrent()
        }

    /** All items run in zone a, which is then evacuated; engine b1 has room for some of them. */
    private fun TestScope.runningInEvacuatedZone(): ItemDispatcher {
        val dispatcher = dispatcher(backgroundScope)
        list("a1", "a2")
        settle(dispatcher)
        list("b1")
        evacuated += ZoneId("a")
        return dispatcher
    }

    private fun ItemDispatcher.running(vararg engines: String) = engines.map { runningOn(TargetId(it)) }

    @Test
    fun `no more runs are moved than there is room for, and the others run on`() =
        runTest {
            val dispatcher = runningInEvacuatedZone()
            settle(dispatcher)
            assertEquals(listOf(SLOTS), dispatcher.running("b1"))
            assertEquals(ITEMS - SLOTS, dispatcher.running("a1", "a2").sum())
            settle(dispatcher)
            assertEquals(ITEMS - SLOTS, dispatcher.running("a1", "a2").sum(), "moved without room")
        }

    @Test
    fun `an evacuation that is taken back while runs move leaves no item without a run`() =
        runTest {
            val dispatcher = runningInEvacuatedZone()
            dispatcher.step(emptyList(), declaration)
            evacuated.clear()
            testScheduler.runCurrent()
            settle(dispatcher)
            assertEquals(ITEMS, dispatcher.running("a1", "a2", "b1").sum())
        }

    @Test
    fun `runs stay where they are while both zones are evacuated`() =
        runTest {
            val dispatcher = dispatcher(backgroundScope)
            list("a1", "b1", "b2")
            settle(dispatcher)
            val before = dispatcher.running("a1", "b1", "b2")
            evacuated += listOf(ZoneId("a"), ZoneId("b"))
            settle(dispatcher)
            assertEquals(before, dispatcher.running("a1", "b1", "b2"))
        }

    private companion object {
        const val SLOTS = 2
        const val ITEMS = 4
    }
}
