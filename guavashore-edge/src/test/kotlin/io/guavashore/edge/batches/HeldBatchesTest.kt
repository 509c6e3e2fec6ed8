package io.guavashore.edge.batches

import io.guavashore.api.Endpoint
import io.guavashore.api.TargetId
import io.guavashore.api.ZoneId
import io.guavashore.edge.declared.SoftwareVersion
import io.guavashore.edge.declared.TargetEntry
import io.guavashore.edge.targets.TargetDirectory
import io.guavashore.platform.EntryChange
import io.guavashore.platform.StoredEntry
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import kotlin.test.Test
import kotlin.test.assertEquals

/** Items while it is not known whether their batch has ended. */
class HeldBatchesTest {
    private val engine =
        TargetEntry(
            id = TargetId("e1"),
            service = ENGINES,
            endpoint = Endpoint("127.0.0.1", 1),
            zone = ZoneId("a"),
            slots = 2,
            isLeaving = false,
            software = SoftwareVersion("v1"),
            versions = mapOf(MODEL to 1L),
        )

    private fun directory(clock: () -> Long) =
        TargetDirectory({ engine }, clock, { false }).also {
            it.apply(EntryChange(StoredEntry("e1", 1, "{}"), deleted = false))
        }

    /** Guards against items of a batch that has ended meanwhile, on a listing that is processed late. */
    @Test
    fun `items are placed only while the knowledge of their batch is current`() =
        runTest {
            val clock = { currentTime }
            val knowledge = BatchKnowledge(clock) { false }
            val store = BatchStore({ call, _ -> VersionedStore().call(call) }, clock)
            val runner = idleRunner(backgroundScope, store, knowledge, clock, directory = directory(clock))
            backgroundScope.launch { runner.run() }
            runner.adopt(StoredBatch(BatchId("b"), batch("b", listOf(itemSpec("i"))).record, 1), emptyList())
            testScheduler.advanceTimeBy(SETTLE_MS)
            val item =
                runner.open
                    .single()
                    .items
                    .single()
            assertEquals(ItemPhase.WAITING, item.phase)
            knowledge.onChangesApplied(revision = 1, sentAtMs = currentTime)
            testScheduler.advanceTimeBy(SETTLE_MS)
            assertEquals(ItemPhase.RUNNING, item.phase)
        }

    private companion object {
        const val SETTLE_MS = 500L
    }
}
