/*
 * VM of a random schedule: disturbed paths to the store and to its peers, through which its calls are relayed, and the
 * coordinator's knowledge of the store's batches while it runs a term.
 */
package io.guavashore.edge.batches

import io.guavashore.api.Incarnation
import io.guavashore.api.VmId
import io.guavashore.edge.coordinator.COORDINATOR_LEASE
import io.guavashore.edge.coordinator.leaseStore
import io.guavashore.edge.peers.PeerCall
import io.guavashore.edge.peers.PeerReply
import io.guavashore.edge.peers.RelayingStore
import io.guavashore.leases.LeaseHolder
import io.guavashore.leases.LeaseManager
import io.guavashore.leases.LeaseStateMachine
import io.guavashore.leases.LeaseTiming
import io.guavashore.metrics.Metrics
import io.guavashore.platform.CollectionName
import io.guavashore.platform.StoreCall
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.plus
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.random.Random

/** VM [name], which relays calls through [peers]. */
internal class ScheduledVm(
    private val name: VmId,
    private val scope: TestScope,
    store: VersionedStore,
    private val random: Random,
    isOverLimit: (StoreCall) -> Boolean,
    private val peers: () -> List<ScheduledVm>,
) {
    val link = DisturbedLink(store, Random(random.nextInt()), isOverLimit) { scope.currentTime }
    private val relaying = RelayingStore(link::call, ::relays, ::callPeer, link::clockMs, Metrics())
    private val machine = LeaseStateMachine(LeaseHolder(name, Incarnation(1)), TIMING)
    private val lease = LeaseManager(COORDINATOR_LEASE, machine, leaseStore(relaying::call, CALL_MS), link::clockMs)
    private val batchStore = BatchStore(relaying::call, link::clockMs)
    private var term: CoroutineScope? = null
    private var fence = 0L
    private var knowledge: BatchKnowledge? = null
    private var runner: BatchRunner? = null
    private var intake: BatchIntake? = null
    private var heardAtMs = 0L
    private var reportsReachable = true

    /** Time for which neither the VM nor its path to the store has been disturbed. */
    val calmForMs: Long get() = scope.currentTime - link.lastDisturbedMs

    /** Batches of which an item could be sent now. */
    fun running(): List<BatchId> {
        if (link.isFrozen || term == null) return emptyList()
        return runner
            ?.open
            ?.filter { knowledge?.mayRun(it) == true }
            ?.map { it.id }
            .orEmpty()
    }

    suspend fun onAccepted(batch: StoredBatch) {
        while (link.isFrozen) delay(POLL_MS)
        if (term != null) intake?.onAccepted(batch)
    }

    /** Sends heartbeats and makes a call to the store now and then, as every VM does, until cancelled. */
    suspend fun run() {
        while (true) {
            if (!link.isFrozen) {
                heardAtMs = scope.currentTime
                reportsReachable = relaying.isReachable
                scope.backgroundScope.launch { relaying.call(StoreCall.Create(OTHER, name.value, "{}"), CALL_MS) }
            }
            delay(HEARTBEAT_MS)
        }
    }

    /** Contends for the lease and runs a term while no successor is known, until cancelled. */
    suspend fun contend() {
        while (true) {
            delay(STEP_MS)
            if (link.isFrozen) continue
            val number = lease.step()?.fencingNumber?.value
            if (number != null && number != fence) beginTerm(number)
            if ((machine.lastSeen?.fencingNumber?.value ?: 0) > fence) endTerm()
        }
    }

    fun beginTerm(number: Long) {
        endTerm()
        val started = scope.backgroundScope + Job(scope.backgroundScope.coroutineContext[Job])
        val known = BatchKnowledge(link::clockMs) { relaying.isOut }
        val batches = idleRunner(started, batchStore, known, link::clockMs)
        val followed =
            BatchIntake(
                { _, task -> started.launch { task() } },
                batches,
                known,
                batchStore,
                relaying::call,
                link::clockMs,
            )
        started.launch { followed.follow() }
        fence = number
        term = started
        knowledge = known
        runner = batches
        intake = followed
    }

    private fun endTerm() {
        term?.cancel()
        term = null
    }

    private fun relays() =
        peers()
            .filter { it !== this && it.reportsReachable && scope.currentTime - it.heardAtMs <= LIVENESS_MS }
            .map { it.name }

    private suspend fun callPeer(
        vm: VmId,
        call: PeerCall,
        timeoutMs: Long,
    ): PeerReply? {
        val peer = peers().first { it.name == vm }
        val reply =
            withTimeoutOrNull(timeoutMs) {
                delay(random.nextLong(1, MAX_DELAY_MS))
                while (peer.link.isFrozen) delay(POLL_MS)
                peer.relaying.callForPeer(call as PeerCall.Store).also { delay(random.nextLong(1, MAX_DELAY_MS)) }
            }
        while (link.isFrozen) delay(POLL_MS)
        return reply
    }

    private companion object {
        val TIMING = LeaseTiming(durationMs = 2_000, marginMs = 300, renewIntervalMs = 650)
        val OTHER = CollectionName("other")
        const val CALL_MS = 500L
        const val HEARTBEAT_MS = 400L
        const val LIVENESS_MS = 1_300L
        const val STEP_MS = 120L
        const val POLL_MS = 10L
        const val MAX_DELAY_MS = 20L
    }
}
