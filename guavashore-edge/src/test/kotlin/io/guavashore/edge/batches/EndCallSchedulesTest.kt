package io.guavashore.edge.batches

import io.guavashore.api.OrganisationId
import io.guavashore.api.VmId
import io.guavashore.edge.coordinator.CoordinatorTerm
import io.guavashore.edge.limits.Fleet
import io.guavashore.edge.limits.PermitIssuer
import io.guavashore.edge.limits.RequestPermits
import io.guavashore.edge.limits.TargetRateLimits
import io.guavashore.edge.peers.PeerReply
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.cancel
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

/**
 * Random schedules of calls that end a batch, through a VM and the coordinator, whose store loses requests and
 * responses and refuses calls; failed assertions name the seed.
 */
class EndCallSchedulesTest {
    private class Schedule(
        val scope: TestScope,
        val random: Random,
    ) {
        val store = FaultyStore(random, faultRate = random.nextDouble(MAX_FAULT_RATE))
        private val clock = { scope.currentTime }
        private val batchStore = BatchStore(store::call, clock)
        private val knowledge = BatchKnowledge(clock) { false }
        val runner = idleRunner(scope.backgroundScope, batchStore, knowledge, clock)
        private val limits = TargetRateLimits(clock) { null }
        private val fleet = Fleet(VmId("c"), { emptyList() }, { true }) { 0 }
        private val term =
            CoordinatorTerm(
                runner,
                BatchIntake({ _, _ -> error("unused") }, runner, knowledge, batchStore, store::call, clock),
                BatchReader(runner, clock) { 0 },
                PermitIssuer(limits, clock),
                RequestPermits(scope.backgroundScope, limits, { null }, fleet, clock) { 0 },
                batchStore,
                store::call,
                "",
            ) { 0 }
        private val handled = ArrayList<Deferred<PeerReply>>()

        /** Gateway of a VM whose calls to the coordinator, or their replies, may be lost. */
        private val gateway =
            BatchGateway(
                batchStore,
                { call, timeoutMs ->
                    val isLost = random.nextInt(4) == 0
                    val reply = scope.async { term.handleCall(call) }.also { handled += it }
                    withTimeoutOrNull(timeoutMs) { reply.await() }.takeUnless { isLost }
                },
                clock,
            )
        private val gatewayWithoutCoordinator = BatchGateway(batchStore, { _, _ -> PeerReply.NotHere }, clock)

        val isEndStored: Boolean get() = stored().record.ended

        private fun stored(): StoredBatch =
            assertNotNull(store.entry(BATCHES, ID.value)?.let(batchStore::decode), "no such batch in the store")

        suspend fun accept() {
            val content = batchStore.encode(batch(ID.value, listOf(itemSpec("i"))).record)
            while (store.names(BATCHES).isEmpty()) batchStore.create(ID, content, timeoutMs = 100)
            store.executeDelayed()
            runner.adopt(stored(), emptyList())
        }

        suspend fun end(throughCoordinator: Boolean): BatchRefusal? {
            val outcome = (if (throughCoordinator) gateway else gatewayWithoutCoordinator).end(ID, ORGANISATION)
            handled.joinAll()
            store.executeDelayed()
            return if (outcome.isErr) outcome.error else null
        }
    }

    private fun schedules(block: suspend Schedule.() -> Unit) =
        repeat(SCHEDULES) { seed ->
            runTest {
                try {
                    Schedule(this, Random(seed)).apply { accept() }.block()
                } catch (e: AssertionError) {
                    throw AssertionError("seed $seed: ${e.message}", e)
                }
                backgroundScope.cancel()
            }
        }

    /** Guards against a 503, which promises that nothing was done, for an end that takes effect. */
    @Test
    fun `an end refused as not done never takes effect, in thousands of schedules`() {
        var refusals = 0
        schedules {
            val throughCoordinator = random.nextBoolean()
            val refusal = end(throughCoordinator)
            if (refusal == null) return@schedules assertTrue(isEndStored, "acknowledged but not stored")
            if (refusal != BatchRefusal.CANNOT_TELL) return@schedules
            refusals++
            assertEquals(false, isEndStored, "refused but stored")
            assertNotNull(runner[ID], "refused, but the coordinator has stopped the batch")
        }
        assertTrue(refusals > MIN_REFUSALS, "only $refusals refusals")
    }

    @Test
    fun `an end that is repeated is acknowledged once the end is in the store, in thousands of schedules`() =
        schedules {
            end(throughCoordinator = true)
            if (!isEndStored) return@schedules
            var refusal = end(throughCoordinator = random.nextBoolean())
            repeat(REPEATS) { if (refusal != null) refusal = end(throughCoordinator = random.nextBoolean()) }
            assertEquals(null, refusal)
        }

    private companion object {
        const val SCHEDULES = 4_000
        const val MAX_FAULT_RATE = 0.9
        const val REPEATS = 200

        /** Below this, the schedules would hardly reach the refusals that the test is about. */
        const val MIN_REFUSALS = 20
        val ID = BatchId("b")
        val ORGANISATION = OrganisationId("weavers")
    }
}
