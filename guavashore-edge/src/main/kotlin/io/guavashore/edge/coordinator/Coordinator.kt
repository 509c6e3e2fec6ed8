/*
 * Contends for the coordinator's lease and runs the coordinator's tasks while this VM holds it.
 *
 * Batch processing continues if the lease expires because the store is unavailable: the store decides which results
 * are listed, so two concurrent coordinators only duplicate work. Engine orders and platform calls require a valid
 * lease at the moment they are sent.
 *
 * A coordinator that reaches no target can't run any item, so it releases the lease if another VM reaches targets, and
 * contends again only when it does so itself.
 */
package io.guavashore.edge.coordinator

import io.github.oshai.kotlinlogging.KotlinLogging
import io.guavashore.api.MonotonicClock
import io.guavashore.api.VmId
import io.guavashore.edge.duties.LeaseGrant
import io.guavashore.edge.peers.CoordinatorLeaseState
import io.guavashore.edge.peers.Heartbeat
import io.guavashore.edge.peers.VmRecord
import io.guavashore.leases.LeaseAction
import io.guavashore.leases.LeaseHolder
import io.guavashore.leases.LeaseManager
import io.guavashore.leases.LeaseRecord
import io.guavashore.leases.LeaseStateMachine
import io.guavashore.leases.LeaseTiming
import io.guavashore.platform.ObjectStore
import io.guavashore.platform.ObjectVersion
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.job
import kotlinx.serialization.json.Json

private val log = KotlinLogging.logger {}

/** Starts the coordinator's tasks in a scope that ends with the term. Fencing numbers grow from term to term. */
typealias StartTerm = (scope: CoroutineScope, fencingNumber: Long) -> Unit

/** Contender for the coordinator's lease on one VM. Not thread-safe. */
class Coordinator(
    private val vmRecord: VmRecord,
    private val scope: CoroutineScope,
    private val store: ObjectStore,
    private val alivePeers: () -> List<Heartbeat>,
    private val clock: MonotonicClock,
    private val suspensionDetector: SuspensionDetector,
    private val isStopping: () -> Boolean,
    private val startTerm: StartTerm,
    private val sendHeartbeats: () -> Unit,
    private val cutOffForMs: () -> Long = { 0 },
    private val handOver: () -> Unit = {},
) {
    private val machine = LeaseStateMachine(LeaseHolder(vmRecord.vm, vmRecord.incarnation), LEASE_TIMING, ::hasEnded)
    private val leaseManager = LeaseManager(COORDINATOR_LEASE, machine, store, clock)
    private var term: CoroutineScope? = null
    private var fencingNumber = 0L

    /** Newest lease state received from a peer; null before the first. */
    private var lastReceived: CoordinatorLeaseState? = null
    private var lastReceivedAtMs = 0L

    /** Lease state that this VM wrote when it released the lease, or null before that. */
    private var released: CoordinatorLeaseState? = null

    /** Monotonic time at which a live holder of the lease was last known; the start of the process before that. */
    private var vacantSinceMs = clock()
    private val succession = Succession()

    /** Peers and coordinator for which [usageReporters] was last computed, and its result. */
    private var reportersOf: Pair<List<Heartbeat>, VmId?>? = null
    private var lastReporters = emptySet<VmId>()

    /** Grant for orders and reports if this VM holds the lease now, else null. */
    fun leaseGrant(): LeaseGrant? {
        if (suspensionDetector.hasClockJumped()) {
            log.warn { "wall clock and monotonic clock diverged, lease must be confirmed by the store before use" }
            machine.invalidate()
            return null
        }
        val held = machine.heldAt(clock()) ?: return null
        val number = held.fencingNumber.value
        return LeaseGrant(vmRecord.vm.value, number, isHeld = { leaseGrant()?.fencingNumber == number })
    }

    /** True while this VM runs the coordinator's tasks, even if the lease has expired meanwhile. */
    val isActive: Boolean get() = term != null

    /** Lease state that this VM sends to its peers; null if it neither holds nor has released the lease. */
    fun leaseState(): CoordinatorLeaseState? {
        val (record, version) = machine.heldRecordAt(clock()) ?: return released
        return CoordinatorLeaseState(record, version.value)
    }

    fun holdsLease(): Boolean = machine.heldRecordAt(clock()) != null

    /** Last known coordinator; null if none is known, or if that VM has released the lease or is not alive. */
    fun current(): VmId? {
        if (isActive) return vmRecord.vm
        val holder =
            lastReceived
                ?.record
                ?.takeUnless { it.released }
                ?.holder
                ?.vm ?: return null
        return holder.takeIf { vm -> alivePeers().any { it.vmRecord.vm == vm } }
    }

    /** Applies the lease state received from a peer; ignored unless newer than the last one received. */
    fun onLeaseState(leaseState: CoordinatorLeaseState) {
        if (leaseState.leaseRevision <= (lastReceived?.leaseRevision ?: 0)) return
        if (lastReceived?.record?.holder != leaseState.record.holder) {
            log.info {
                "coordinator changed: vm=${leaseState.record.holder.vm} fence=${leaseState.record.fencingNumber}"
            }
        }
        lastReceived = leaseState
        lastReceivedAtMs = clock()
        machine.onRead(ObjectVersion(leaseState.leaseRevision), leaseState.record, clock())
        endTermIfSucceeded(leaseState.record)
    }

    /** Contends until cancelled. */
    suspend fun run() {
        while (true) {
            if (suspensionDetector.hasClockJumped()) machine.invalidate()
            if (isActive && mustStepDown()) stepDown()
            val hasLeft = released != null && isStopping()
            if (!hasLeft && (isActive || mayContend())) step()
            delay(STEP_INTERVAL_MS)
        }
    }

    /** Releases the lease, so that a successor need not wait for it to expire. */
    suspend fun release() {
        val action = machine.release(clock())
        if (action is LeaseAction.Write) {
            val record = action.record
            val written = store.write(COORDINATOR_LEASE, Json.encodeToString(record), action.expected)
            log.info { "lease released: ok=${written.isOk} fence=${record.fencingNumber}" }
            if (written.isOk) released = CoordinatorLeaseState(record, written.value.value)
            sendHeartbeats()
        }
    }

    private fun mustStepDown() = cutOffForMs() >= STEP_DOWN_AFTER_MS && peersWithTargets().isNotEmpty()

    private suspend fun stepDown() {
        log.warn { "coordinator reaches no target, leaving its tasks to another VM: cut_off_ms=${cutOffForMs()}" }
        handOver()
        release()
        endTerm("no target can be reached")
    }

    private fun peersWithTargets() = alivePeers().filter { it.reachesTargets && !it.stopping }

    /** Cancels the coordinator's tasks when the process stops. */
    fun stop() = endTerm("stopping")

    private suspend fun step() {
        val held = leaseManager.step()
        if (held == null) {
            machine.lastSeen?.let(::endTermIfSucceeded)
            return
        }
        vacantSinceMs = clock()
        if (term == null || held.fencingNumber.value != fencingNumber) {
            endTerm("new term")
            fencingNumber = held.fencingNumber.value
            beginTerm()
        }
    }

    /** Ends the term if [record], from a peer or the store, shows that another VM has taken the lease since. */
    private fun endTermIfSucceeded(record: LeaseRecord) {
        val isSuccessor = record.holder.vm != vmRecord.vm && record.fencingNumber.value > fencingNumber
        if (isSuccessor) endTerm("another VM holds the lease: vm=${record.holder.vm}")
    }

    private fun beginTerm() {
        log.info { "coordinator term started: fence=$fencingNumber" }
        val termScope = CoroutineScope(scope.coroutineContext + SupervisorJob(scope.coroutineContext.job))
        term = termScope
        startTerm(termScope, fencingNumber)
        sendHeartbeats()
    }

    private fun endTerm(reason: String) {
        val ending = term ?: return
        term = null
        log.info { "coordinator term ended: reason=$reason fence=$fencingNumber" }
        ending.cancel()
    }

    /** VMs that would take over: the first in the succession order, and the first outside this availability zone. */
    fun standbys(): List<VmId> = succession.standbys(candidates(), vmRecord.zone)

    /** VMs that report usage now, or would after the loss of a VM or of an availability zone. */
    fun usageReporters(): Set<VmId> {
        val peers = alivePeers()
        val holder = current()
        val known = reportersOf
        if (known != null && known.first === peers && known.second == holder) return lastReporters
        lastReporters = (succession.potentialCoordinators(candidates() + vmRecord) + listOfNotNull(holder)).toSet()
        reportersOf = peers to holder
        return lastReporters
    }

    /** Peers that could take over; those that reach no target only if none does. */
    private fun candidates() = peersWithTargets().ifEmpty { alivePeers().filterNot { it.stopping } }.map { it.vmRecord }

    /** A VM runs one process at a time, so a newer incarnation there means that the holder's process has ended. */
    private fun hasEnded(holder: LeaseHolder): Boolean {
        val running =
            if (holder.vm == vmRecord.vm) {
                vmRecord
            } else {
                alivePeers().map { it.vmRecord }.firstOrNull { it.vm == holder.vm }
            }
        return running != null && running.incarnation > holder.incarnation
    }

    /**
     * One VM contends at first, so that contenders do not cause each other's writes to fail with a conflict; one more
     * joins after each [CONTENDER_DELAY_MS].
     */
    private fun mayContend(): Boolean {
        if (isStopping() || (cutOffForMs() > 0 && peersWithTargets().isNotEmpty())) return false
        if (current() != null && clock() - lastReceivedAtMs < RENEWAL_TIMEOUT_MS) {
            vacantSinceMs = clock()
            return false
        }
        val ranked = succession.ordered(candidates() + vmRecord)
        val contenders = 1 + (clock() - vacantSinceMs) / CONTENDER_DELAY_MS
        return ranked.take(contenders.toInt()).contains(vmRecord)
    }

    private companion object {
        /**
         * A holder may act for 1.7 s after sending its last renewal; a challenger waits 2.3 s after it read that
         * renewal. Together with the time that peers take to detect a dead VM, failover takes less than 3 s.
         */
        val LEASE_TIMING = LeaseTiming(durationMs = 2_000, marginMs = 300, renewIntervalMs = 650)
        const val STEP_INTERVAL_MS = 120L

        /** A live holder that has not renewed for this long can't reach the store, so other VMs may contend. */
        const val RENEWAL_TIMEOUT_MS = 2_300L

        /** Covers a second round of probes, so that a short pause of this VM is not taken for a cut. */
        const val STEP_DOWN_AFTER_MS = 700L

        /** Time after which the next VM in the succession order contends as well. */
        const val CONTENDER_DELAY_MS = 3_500L
    }
}
