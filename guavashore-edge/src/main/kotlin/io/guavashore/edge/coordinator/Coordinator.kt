/*
 * Contends for the coordinator's lease and runs the coordinator's work while this VM holds it.
 *
 * The work on batches goes on when the lease lapses because the store is away: what is listed is fixed by the store, so
 * two coordinators only cost work done twice. Orders and duties need the lease at the moment that they are sent.
 */
package io.guavashore.edge.coordinator

import io.github.oshai.kotlinlogging.KotlinLogging
import io.guavashore.api.MonotonicClock
import io.guavashore.api.VmId
import io.guavashore.edge.duties.LeaseGrant
import io.guavashore.edge.peers.CoordinatorClaim
import io.guavashore.edge.peers.Heartbeat
import io.guavashore.edge.peers.VmRecord
import io.guavashore.leases.LeaseAction
import io.guavashore.leases.LeaseHolder
import io.guavashore.leases.LeaseManager
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

/** Starts the coordinator's work in a scope that ends with it; each term has a higher fencing number. */
typealias BeginTerm = (scope: CoroutineScope, fencingNumber: Long) -> Unit

/** Contender on one VM. */
class Coordinator(
    private val vmRecord: VmRecord,
    private val scope: CoroutineScope,
    private val store: ObjectStore,
    private val alivePeers: () -> List<Heartbeat>,
    private val clock: MonotonicClock,
    private val guard: SuspensionGuard,
    private val isStopping: () -> Boolean,
    private val beginTerm: BeginTerm,
    private val announce: () -> Unit,
) {
    private val machine = LeaseStateMachine(LeaseHolder(vmRecord.vm, vmRecord.incarnation), TERMS, ::hasEnded)
    private val keeper = LeaseManager(COORDINATOR_LEASE, machine, store, clock)
    private var term: CoroutineScope? = null
    private var fencingNumber = 0L
    private var newest: CoordinatorClaim? = null
    private var newestAtMs = 0L

    /** This VM's last claim, once it has given the lease up. */
    private var released: CoordinatorClaim? = null
    private var vacantSinceMs = clock()
    private val succession = Succession()

    /** Right to order and report, at this moment. */
    fun right(): LeaseGrant? {
        if (guard.jumped()) {
            log.warn { "clocks have moved against each other: the lease must be proved again" }
            machine.invalidate()
            return null
        }
        val held = machine.heldAt(clock()) ?: return null
        val number = held.fencingNumber.value
        return LeaseGrant(vmRecord.vm.value, number, isHeld = { right()?.fencingNumber == number })
    }

    /** True while this VM does the coordinator's work. */
    val isActive: Boolean get() = term != null

    /** What this VM tells its peers of the lease. */
    fun claim(): CoordinatorClaim? {
        val (record, version) = machine.heldRecordAt(clock()) ?: return released
        return CoordinatorClaim(record, version.value)
    }

    fun holdsLease(): Boolean = machine.heldRecordAt(clock()) != null

    /** VM that does the coordinator's work as far as is known, if it is alive. */
    fun current(): VmId? {
        if (isActive) return vmRecord.vm
        val holder =
            newest
                ?.record
                ?.takeUnless { it.released }
                ?.holder
                ?.vm ?: return null
        return holder.takeIf { vm -> alivePeers().any { it.vmRecord.vm == vm } }
    }

    /** Takes in what a peer says of the lease. */
    fun onClaim(claim: CoordinatorClaim) {
        if (claim.leaseRevision <= (newest?.leaseRevision ?: 0)) return
        if (newest?.record?.holder != claim.record.holder) {
            log.info { "coordinator known: vm=${claim.record.holder.vm} fence=${claim.record.fencingNumber}" }
        }
        newest = claim
        newestAtMs = clock()
        machine.onRead(ObjectVersion(claim.leaseRevision), claim.record, clock())
        val other = claim.record.holder.vm != vmRecord.vm
        if (other && claim.record.fencingNumber.value > fencingNumber) endTerm("another VM holds the lease")
    }

    /** Contends until cancelled. */
    suspend fun run() {
        while (true) {
            if (guard.jumped()) machine.invalidate()
            if (released == null && (isActive || mayContend())) step()
            delay(STEP_EVERY_MS)
        }
    }

    /** Gives the lease up, so that a successor need not wait. */
    suspend fun release() {
        val action = machine.release(clock())
        if (action is LeaseAction.Write) {
            val record = action.record
            val written = store.write(COORDINATOR_LEASE, Json.encodeToString(record), action.expected)
            log.info { "lease released: ok=${written.isOk} fence=${record.fencingNumber}" }
            if (written.isOk) released = CoordinatorClaim(record, written.value.value)
            announce()
        }
    }

    /** Ends the work without a successor, at the process's stop. */
    fun stop() = endTerm("stopping")

    private suspend fun step() {
        val held = keeper.step()
        if (held == null) return
        vacantSinceMs = clock()
        if (term == null || held.fencingNumber.value != fencingNumber) {
            endTerm("new term")
            fencingNumber = held.fencingNumber.value
            begin()
        }
    }

    private fun begin() {
        log.info { "coordinator begins: fence=$fencingNumber" }
        val fresh = CoroutineScope(scope.coroutineContext + SupervisorJob(scope.coroutineContext.job))
        term = fresh
        beginTerm(fresh, fencingNumber)
        announce()
    }

    private fun endTerm(reason: String) {
        val ending = term ?: return
        term = null
        log.info { "coordinator ends: reason=$reason fence=$fencingNumber" }
        ending.cancel()
    }

    /** VMs that would take over: the first in line, and the first outside this availability zone. */
    fun standbys(): List<VmId> = succession.standbys(successors(), vmRecord.zone)

    /** VMs that report usage, or would after the loss of a VM or of an availability zone. */
    fun reporters(): Set<VmId> = (succession.heirs(successors() + vmRecord) + listOfNotNull(current())).toSet()

    private fun successors() = alivePeers().filterNot { it.stopping }.map { it.vmRecord }

    /** A VM runs one process at a time, so a later one there means that the earlier one has ended. */
    private fun hasEnded(holder: LeaseHolder): Boolean {
        val now = if (holder.vm == vmRecord.vm) vmRecord else alivePeers().map { it.vmRecord }.firstOrNull { it.vm == holder.vm }
        return now != null && now.incarnation > holder.incarnation
    }

    /** One VM contends at a time, so that contenders do not refuse each other's writes; the next one after a while. */
    private fun mayContend(): Boolean {
        if (isStopping()) return false
        if (current() != null && clock() - newestAtMs < RENEWAL_SEEN_MS) {
            vacantSinceMs = clock()
            return false
        }
        val ranked = succession.ordered(successors() + vmRecord)
        val turns = 1 + (clock() - vacantSinceMs) / TURN_MS
        return ranked.take(turns.toInt()).contains(vmRecord)
    }

    private companion object {
        /**
         * A holder acts for 1.7 s after it sent its last renewal; a challenger waits 2.3 s after it saw it. Together
         * with the time in which peers find a VM dead this keeps a change of coordinator under 3 s.
         */
        val TERMS = LeaseTiming(durationMs = 2_000, marginMs = 300, renewIntervalMs = 650)
        const val STEP_EVERY_MS = 120L

        /** A holder that lives but has not renewed for this long can't reach the store; others may try. */
        const val RENEWAL_SEEN_MS = 2_300L

        /** Time that the first contender has before the next one tries as well. */
        const val TURN_MS = 3_500L
    }
}
