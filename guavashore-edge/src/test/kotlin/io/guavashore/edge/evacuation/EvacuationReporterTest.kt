package io.guavashore.edge.evacuation

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.guavashore.api.VmId
import io.guavashore.api.ZoneId
import io.guavashore.edge.duties.LeaseGrant
import io.guavashore.platform.StoreCall
import io.guavashore.platform.StoreCallError
import io.guavashore.platform.StoreResponse
import io.guavashore.platform.StoredEntry
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.test.runTest
import kotlin.test.Test
import kotlin.test.assertEquals

/** Status of the evacuation of one zone under a store that loses calls or answers; one failure in each test. */
class EvacuationReporterTest {
    private val zone = ZoneId("a")
    private var nowMs = 0L
    private var stored = StoredEntry(zone.value, revision = 7, content = "{}")
    private var writes = 0

    /** The coordinator's copy of the entry. */
    private var copy = stored
    private var vms = listOf(knows(7), knows(7))
    private var fault: StoreCallError? = null
    private var losesAnswers = false

    private fun knows(
        revision: Long,
        busy: Set<ZoneId> = emptySet(),
    ) = VmEvacuationState(VmId("vm"), revision, busy)

    private suspend fun call(call: StoreCall): Result<StoreResponse, StoreCallError> {
        fault?.let { return Err(it) }
        val write = call as StoreCall.ReplaceStatus
        if (write.expectedRevision != stored.revision) return Err(StoreCallError.Conflict(stored))
        stored = stored.copy(revision = stored.revision + 1, status = write.status)
        writes++
        return if (losesAnswers) awaitCancellation() else Ok(StoreResponse.Entry(stored))
    }

    private fun coordinator() =
        EvacuationReporter(
            EvacuationView(zones = { setOf(zone) }, entries = { listOf(copy) }, vms = { vms }),
            call = { call, _ -> call(call) },
            emptiedStatus = "empty",
            leaseGrant = { LeaseGrant("vm", 1) { true } },
            clock = { nowMs },
        )

    private fun stepAfter(
        coordinator: EvacuationReporter,
        waitMs: Long = 0,
    ) = runBlocking {
        nowMs += waitMs
        coordinator.step()
    }

    @Test
    fun `the zone is empty once all VMs know of the evacuation and none has a request running there`() {
        val coordinator = coordinator()
        listOf(listOf(knows(6), knows(7)), listOf(knows(7), knows(7, setOf(zone)))).forEach {
            vms = it
            stepAfter(coordinator)
            assertEquals(0, writes, "written with $it")
        }
        vms = listOf(knows(7, setOf(ZoneId("b"))), knows(8))
        stepAfter(coordinator)
        assertEquals("empty", stored.status)
    }

    @Test
    fun `a successor repeats no status that was written as its predecessor was lost`() =
        runTest {
            losesAnswers = true
            val predecessor = launch { coordinator().step() }
            testScheduler.runCurrent()
            predecessor.cancel()
            losesAnswers = false
            val successor = coordinator()
            stepAfter(successor)
            assertEquals(1, writes, "its copy does not have the status yet")
            copy = stored
            stepAfter(successor, LONG_MS)
            assertEquals(1, writes)
        }

    @Test
    fun `a successor writes the status that its predecessor did not come to write`() {
        vms = listOf(knows(7, setOf(zone)))
        stepAfter(coordinator())
        vms = listOf(knows(7))
        stepAfter(coordinator())
        assertEquals(1, writes)
    }

    @Test
    fun `a failed write is repeated after a pause`() {
        val coordinator = coordinator()
        fault = StoreCallError.NotDone("status 503")
        stepAfter(coordinator)
        fault = null
        stepAfter(coordinator)
        assertEquals(0, writes, "repeated without a pause")
        stepAfter(coordinator, LONG_MS)
        assertEquals(1, writes)
    }

    @Test
    fun `an evacuation that began anew is not reported on what VMs said of the earlier one`() {
        stored = stored.copy(revision = 9)
        stepAfter(coordinator())
        assertEquals(0, writes, "the copy shows the earlier evacuation")
        copy = stored
        stepAfter(coordinator())
        assertEquals(0, writes, "VMs know the earlier evacuation only")
    }

    private companion object {
        const val LONG_MS = 5_000L
    }
}
