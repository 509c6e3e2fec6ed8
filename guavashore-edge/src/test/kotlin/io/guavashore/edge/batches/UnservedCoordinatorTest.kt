package io.guavashore.edge.batches

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import io.guavashore.api.VmId
import io.guavashore.edge.peers.PeerReply
import io.guavashore.edge.peers.RelayingStore
import io.guavashore.metrics.Metrics
import io.guavashore.platform.StoreCall
import io.guavashore.platform.StoreCallError
import io.guavashore.platform.StoreResponse
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Coordinator whose calls to the store fail while those of other VMs are served, through which a batch is ended. */
class UnservedCoordinatorTest {
    private enum class Fault { NO_RESPONSE, NOT_CONNECTED, OVER_LIMIT, UNAVAILABLE, SLOW }

    private inner class Coordinator(
        private val scope: TestScope,
    ) {
        val store = VersionedStore()
        private val clock = { scope.currentTime }
        private val relaying =
            RelayingStore(
                direct = ::call,
                relays = { listOf(VmId("peer")) },
                callPeer = { _, _, timeoutMs ->
                    if (fault ==
                        Fault.UNAVAILABLE
                    ) {
                        PeerReply.Store(null, unavailable)
                    } else {
                        null.also { delay(timeoutMs) }
                    }
                },
                clock = clock,
                metrics = Metrics(),
            )
        private val batchStore = BatchStore(relaying::call, clock)
        private val knowledge = BatchKnowledge(clock) { relaying.isOut }
        private val runner = idleRunner(scope.backgroundScope, batchStore, knowledge, clock)
        var fault: Fault? = null

        /** Batches of which an item could be sent now. */
        val running: List<BatchId> get() = runner.open.filter(knowledge::mayRun).map { it.id }

        private suspend fun call(
            call: StoreCall,
            timeoutMs: Long,
        ): Result<StoreResponse, StoreCallError> {
            delay(ROUND_TRIP_MS)
            return when (fault) {
                null -> store.call(call)
                Fault.NO_RESPONSE -> Err(StoreCallError.Unknown("no response")).also { delay(timeoutMs) }
                Fault.NOT_CONNECTED -> Err(StoreCallError.NotDone("not connected"))
                Fault.OVER_LIMIT -> Err(StoreCallError.NotDone("status 429"))
                Fault.UNAVAILABLE -> Err(unavailable)
                Fault.SLOW -> withTimeoutOrNull(timeoutMs) { callSlowly(call) } ?: Err(StoreCallError.Unknown("slow"))
            }
        }

        private suspend fun callSlowly(call: StoreCall): Result<StoreResponse, StoreCallError> {
            delay(SLOW_MS)
            return store.call(call)
        }

        suspend fun startBatch() {
            val content = batchStore.encode(batch("b", listOf(itemSpec("i"))).record)
            store.execute(StoreCall.Create(BATCHES, "b", content))
            val intake =
                BatchIntake(
                    { _, task -> scope.backgroundScope.launch { task() } },
                    runner,
                    knowledge,
                    batchStore,
                    relaying::call,
                    clock,
                )
            scope.backgroundScope.launch { intake.follow() }
            delay(SETTLE_MS)
            assertEquals(listOf(BatchId("b")), running)
        }

        fun endThroughAnotherVm() =
            store.replaceAny(BATCHES, "b", batchStore.encode(batch("b", listOf(itemSpec("i"))).record.asEnded()))
    }

    /** Guards against items of ended batches that an overloaded coordinator sends, whose calls time out. */
    @Test
    fun `a batch that another VM ends does not go on because calls of the coordinator fail`() =
        (Fault.entries - Fault.UNAVAILABLE - Fault.SLOW).forEach { fault ->
            runTest {
                val coordinator = Coordinator(this)
                coordinator.startBatch()
                coordinator.fault = fault
                // A watch that is open when the fault begins would still show the end.
                delay(WATCH_MS)
                coordinator.endThroughAnotherVm()
                val endedAtMs = currentTime
                while (currentTime < endedAtMs + FAULT_MS) {
                    delay(CHECK_INTERVAL_MS)
                    val sinceMs = currentTime - endedAtMs
                    assertTrue(
                        coordinator.running.isEmpty() || sinceMs <= CANCEL_MS,
                        "$fault: $sinceMs ms after its end",
                    )
                }
            }
        }

    @Test
    fun `a batch goes on while the store states to the coordinator and to a peer that it is unavailable`() =
        runTest {
            val coordinator = Coordinator(this)
            coordinator.startBatch()
            coordinator.fault = Fault.UNAVAILABLE
            delay(FAULT_MS)
            assertEquals(listOf(BatchId("b")), coordinator.running)
        }

    /** Guards against batches that an overloaded coordinator holds for good. */
    @Test
    fun `a batch runs again and again while responses of the store take longer than usual`() =
        runTest {
            val coordinator = Coordinator(this)
            coordinator.startBatch()
            coordinator.fault = Fault.SLOW
            delay(FAULT_MS)
            var heldForMs = 0L
            repeat((FAULT_MS / CHECK_INTERVAL_MS).toInt()) {
                delay(CHECK_INTERVAL_MS)
                heldForMs = if (coordinator.running.isEmpty()) heldForMs + CHECK_INTERVAL_MS else 0
                assertTrue(heldForMs < MAX_HELD_MS, "held for $heldForMs ms")
            }
        }

    private companion object {
        val unavailable = StoreCallError.NotDone("status 503", isUnavailable = true)
        const val ROUND_TRIP_MS = 4L
        const val SETTLE_MS = 500L

        /** Longer than a watch usually takes to be answered. */
        const val SLOW_MS = 1_000L

        /** An item that is at no worker for 5 s counts as lost. */
        const val MAX_HELD_MS = 5_000L
        const val WATCH_MS = 1_000L
        const val FAULT_MS = 12_000L
        const val CHECK_INTERVAL_MS = 20L

        /** `cancel_ms` of the users' deployments. */
        const val CANCEL_MS = 3_000L
    }
}
