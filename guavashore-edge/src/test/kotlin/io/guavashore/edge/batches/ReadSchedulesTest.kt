package io.guavashore.edge.batches

import io.guavashore.api.FencingNumber
import io.guavashore.api.Incarnation
import io.guavashore.api.OrganisationId
import io.guavashore.api.VmId
import io.guavashore.edge.coordinator.COORDINATOR_LEASE
import io.guavashore.edge.coordinator.SuspensionDetector
import io.guavashore.edge.coordinator.leaseStore
import io.guavashore.edge.peers.PeerCall
import io.guavashore.edge.peers.PeerReply
import io.guavashore.edge.peers.RelayingStore
import io.guavashore.leases.LeaseHolder
import io.guavashore.leases.LeaseManager
import io.guavashore.leases.LeaseStateMachine
import io.guavashore.leases.LeaseTiming
import io.guavashore.metrics.Metrics
import io.guavashore.platform.StoreCall
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.plus
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * Random schedules of reads through several VMs, while two VMs with disturbed paths to the store list results as
 * coordinators in turn, at times both at once; failed assertions name the seed.
 */
class ReadSchedulesTest {
    /** VM that contends for the lease and runs the batch while it holds it, and afterwards until it hears otherwise. */
    private class CoordinatorVm(
        name: String,
        private val scope: TestScope,
        store: VersionedStore,
        private val random: Random,
    ) {
        val link = DisturbedLink(store, Random(random.nextInt())) { scope.currentTime }
        private val relaying = RelayingStore(link::call, { emptyList() }, { _, _, _ -> null }, link::clockMs, Metrics())
        private val machine = LeaseStateMachine(LeaseHolder(VmId(name), Incarnation(1)), TIMING)
        private val lease = LeaseManager(COORDINATOR_LEASE, machine, leaseStore(relaying::call, 500), link::clockMs)
        private val suspensions = SuspensionDetector(link::clockMs) { scope.currentTime }
        private var termScope: CoroutineScope? = null
        private var fence: FencingNumber? = null
        private var reader: BatchReader? = null
        private var runner: BatchRunner? = null

        suspend fun run() {
            scope.backgroundScope.launch { link.disturb() }
            while (true) {
                delay(STEP_MS)
                if (!link.isFrozen) step()
            }
        }

        private suspend fun step() {
            if (suspensions.hasClockJumped()) machine.invalidate()
            val held = lease.step()
            if (held != null && held.fencingNumber != fence) beginTerm(held.fencingNumber)
            val seen = machine.lastSeen ?: return
            if (seen.fencingNumber.value > (fence?.value ?: 0)) termScope?.cancel()
            if (!link.isFrozen) settleSome()
        }

        private fun beginTerm(number: FencingNumber) {
            termScope?.cancel()
            val term = scope.backgroundScope + Job(scope.backgroundScope.coroutineContext[Job])
            val knowledge = BatchKnowledge(link::clockMs) { relaying.isOut }
            val store = BatchStore(relaying::call, link::clockMs)
            val fenced = TermFence(number.value) { holds(number) }
            val batches = idleRunner(term, store, knowledge, link::clockMs, fenced)
            val intake =
                BatchIntake(
                    { _, task -> term.launch { task() } },
                    batches,
                    knowledge,
                    store,
                    relaying::call,
                    link::clockMs,
                )
            term.launch { intake.follow() }
            term.launch { batches.run() }
            termScope = term
            fence = number
            runner = batches
            reader = BatchReader(batches, link::clockMs) { 0 }
        }

        private fun holds(number: FencingNumber): Boolean {
            if (suspensions.hasClockJumped()) machine.invalidate()
            return machine.heldAt(link.clockMs())?.fencingNumber == number
        }

        private fun settleSome() {
            val batch = runner?.get(ID) ?: return
            if (random.nextInt(4) > 0) return
            val item = batch.items.filter { it.phase == ItemPhase.WAITING }.randomOrNull(random) ?: return
            batch.settle(item, ItemOutcome.COMPLETED, link.clockMs())
            runner?.wake()
        }

        suspend fun read(call: PeerCall.ReadBatch): PeerReply {
            while (link.isFrozen) delay(1)
            val reply = reader?.read(call) ?: PeerReply.NotHere
            while (link.isFrozen) delay(1)
            return reply
        }
    }

    private class Schedule(
        private val scope: TestScope,
        seed: Int,
    ) {
        private val random = Random(seed)
        private val store = VersionedStore()
        private val vms = List(2) { CoordinatorVm("vm$it", scope, store, Random(seed * 7 + it)) }

        /** Result that was shown at each position, and the virtual time at which it was shown first. */
        private val shown = ArrayList<Pair<ItemId, Long>>()

        suspend fun play() {
            val sound = BatchStore({ call, _ -> store.call(call) }, { scope.currentTime })
            val record = batch(ID.value, List(ITEMS) { itemSpec("i$it") }).record
            store.execute(StoreCall.Create(BATCHES, ID.value, sound.encode(record)))
            vms.forEach { scope.backgroundScope.launch { it.run() } }
            val readers =
                List(
                    READERS,
                ) { scope.launch { readRepeatedly(BatchGateway(sound, ::callCoordinator) { scope.currentTime }) } }
            readers.forEach { it.join() }
        }

        /** Each VM takes one of the two for the coordinator, rightly or not; replies may be late or lost. */
        private suspend fun callCoordinator(
            call: PeerCall,
            timeoutMs: Long,
        ): PeerReply? {
            val vm = vms.randomOrNull(random) ?: return null
            return withTimeoutOrNull(timeoutMs) {
                delay(random.nextLong(1, MAX_DELAY_MS))
                val reply = vm.read(call as PeerCall.ReadBatch)
                delay(if (random.nextInt(5) == 0) random.nextLong(timeoutMs) else 1)
                reply
            }
        }

        private suspend fun readRepeatedly(gateway: BatchGateway) {
            while (scope.currentTime < SCHEDULE_MS) {
                delay(random.nextLong(MAX_READ_INTERVAL_MS))
                val after = random.nextInt(shown.size + 1)
                val waitMs = listOf(0L, 0L, 1_000L).random(random)
                val read = gateway.read(ID, OrganisationId("weavers"), after, waitMs)
                if (read.isOk) check(read.value, after)
            }
        }

        private fun check(
            page: ResultPage,
            after: Int,
        ) {
            page.results.forEachIndexed { index, result ->
                val position = after + index
                if (position == shown.size) shown += result.item to scope.currentTime
                assertEquals(shown[position].first, result.item, "position $position")
            }
            if (page.results.isNotEmpty() || after >= shown.size) return
            val shownForMs = scope.currentTime - shown[after].second
            assertTrue(shownForMs <= SETTLE_MS, "nothing at position $after, shown $shownForMs ms before")
        }
    }

    /** Guards against results that were read and are missing in later answers, from a memory that lags the store. */
    @Test
    fun `a position that was read is never empty later on, whoever answers, in three hundred schedules`() =
        repeat(SCHEDULES) { seed ->
            runTest {
                try {
                    Schedule(this, seed).play()
                } catch (e: AssertionError) {
                    throw AssertionError("seed $seed: ${e.message}", e)
                }
                backgroundScope.cancel()
            }
        }

    private companion object {
        val ID = BatchId("b")
        val TIMING = LeaseTiming(durationMs = 2_000, marginMs = 300, renewIntervalMs = 650)
        const val SCHEDULES = 300
        const val SCHEDULE_MS = 25_000L
        const val ITEMS = 60
        const val READERS = 3
        const val STEP_MS = 120L
        const val MAX_DELAY_MS = 20L
        const val MAX_READ_INTERVAL_MS = 300L

        /** `settle_ms` of the users' deployments. */
        const val SETTLE_MS = 1_000L
    }
}
