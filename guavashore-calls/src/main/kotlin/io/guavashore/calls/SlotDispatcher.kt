/*
 * Assigns the slots of one pool to the requests of this entry node. Engines have no priorities and process requests
 * in arrival order, so a request waits here until this node's share of some target's slots has a free one.
 */
package io.guavashore.calls

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.onSuccess
import io.guavashore.admission.FairQueue
import io.guavashore.admission.QueueItem
import io.guavashore.admission.WorkClass
import io.guavashore.api.MonotonicClock
import io.guavashore.api.OrganisationId
import io.guavashore.api.Refusal
import io.guavashore.api.RefusalKind
import io.guavashore.api.Target
import io.guavashore.api.TargetId
import io.guavashore.api.TargetStage
import io.guavashore.api.ZoneId
import io.guavashore.routing.Candidate
import io.guavashore.routing.OutlierEjection
import io.guavashore.routing.PickRequest
import io.guavashore.routing.TargetSpeeds
import io.guavashore.routing.pickTarget
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull

/**
 * A target of the pool.
 *
 * @property limit maximum number of concurrent requests from this entry node
 * @property reportedLoad load last reported by the target, 0.0 idle to 1.0 full
 */
data class TargetShare(
    val target: Target,
    val limit: Int,
    val reportedLoad: Double = 0.0,
)

/** Outcome of an attempt on a slot's target. [ABANDONED] says nothing about the target. */
enum class SlotOutcome { SUCCEEDED, TARGET_FAILED, ABANDONED }

/**
 * Dispatcher of one pool. Thread-safe.
 *
 * @param homeZone this node's availability zone, whose targets are preferred
 * @param reservedPublicSlots slots of each target that samples must leave free for public calls
 * @param onWaiting called when a request has to wait for a slot
 */
class SlotDispatcher(
    private val homeZone: ZoneId,
    private val clock: MonotonicClock,
    private val reservedPublicSlots: Int = 0,
    private val onWaiting: () -> Unit = {},
    weightOf: (OrganisationId) -> Int = { 1 },
) {
    private class Waiter(
        val request: SlotRequest,
        val granted: CompletableDeferred<Slot> = CompletableDeferred(),
    )

    private val lock = Any()
    private val queue = FairQueue<Waiter>(weightOf = weightOf)

    /** Requests taken from the queue that found no target meeting their own conditions. */
    private val blocked = ArrayDeque<Waiter>()
    private val ejection = OutlierEjection()
    private val outstanding = HashMap<TargetId, Int>()
    private val exclusiveTargets = HashSet<TargetId>()
    private val addedAtMs = HashMap<TargetId, Long>()
    private var shares: List<TargetShare> = emptyList()
    private val drainRate = DrainRate()
    private val speeds = TargetSpeeds()

    /** Replaces the targets and this node's limits on them. Targets added to a known pool warm up first. */
    fun update(newShares: List<TargetShare>) {
        synchronized(lock) {
            val nowMs = clock()
            val known = shares.map { it.target.id }.toSet()
            if (known.isNotEmpty()) {
                newShares.map { it.target.id }.filter { it !in known }.forEach { addedAtMs[it] = nowMs }
            }
            shares = newShares
            ejection.retain(newShares.map { it.target.id }.toSet())
            speeds.retain(newShares.map { it.target.id }.toSet())
            addedAtMs.keys.retainAll(newShares.map { it.target.id }.toSet())
            dispatchWaiting()
        }
    }

    /** Waits for a slot. Refuses immediately if the deadline can't be met, otherwise when it passes. */
    suspend fun acquire(request: SlotRequest): Result<Slot, Refusal> {
        val waiter = Waiter(request)
        synchronized(lock) {
            immediateRefusal(request)?.let { return Err(it) }
            queue.offer(QueueItem(waiter, request.organisation, request.workClass, request.cost, request.deadlineMs))
            dispatchWaiting()
        }
        if (!waiter.granted.isCompleted) onWaiting()
        return await(waiter)
    }

    /** Releases [slot] and records the outcome of its attempt. */
    fun release(
        slot: Slot,
        outcome: SlotOutcome,
    ) {
        val id = slot.target.id
        synchronized(lock) {
            outstanding.merge(id, -1, Int::plus)
            if (slot.exclusive) exclusiveTargets.remove(id)
            when (outcome) {
                SlotOutcome.SUCCEEDED -> {
                    ejection.recordSuccess(id)
                    drainRate.recordDrained(slot.cost, clock())
                }
                SlotOutcome.TARGET_FAILED -> ejection.recordFailure(id, poolSize = shares.size, nowMs = clock())
                SlotOutcome.ABANDONED -> Unit
            }
            dispatchWaiting()
        }
    }

    /** Records that [target] completed [work] (such as tokens) in [elapsedMs]. */
    fun recordSpeed(
        target: TargetId,
        work: Int,
        elapsedMs: Long,
    ) = synchronized(lock) { speeds.record(target, work, elapsedMs) }

    /** Speed of [target] relative to the fastest one of the pool, at most 1; null while it is unknown. */
    fun speedOf(target: TargetId): Double? = synchronized(lock) { speeds.known(target) }

    /** Number of this node's requests running on each target; targets without any are left out. */
    fun inFlight(): Map<TargetId, Int> = synchronized(lock) { outstanding.filterValues { it > 0 } }

    /** Number of requests waiting for a slot. */
    fun waiting(): Int = synchronized(lock) { queue.size + blocked.size }

    /** Targets of the pool with this node's limits. */
    fun targets(): List<TargetShare> = synchronized(lock) { shares }

    private suspend fun await(waiter: Waiter): Result<Slot, Refusal> {
        val leftMs = waiter.request.deadlineMs - clock()
        try {
            val slot = withTimeoutOrNull(leftMs) { waiter.granted.await() }
            return if (slot != null) Ok(slot) else withdraw(waiter)
        } catch (e: CancellationException) {
            withdraw(waiter).onSuccess { release(it, SlotOutcome.ABANDONED) }
            throw e
        }
    }

    /** Removes [waiter]; returns its slot if that was granted meanwhile, otherwise a refusal. */
    private fun withdraw(waiter: Waiter): Result<Slot, Refusal> =
        synchronized(lock) {
            val stillWaiting = queue.remove(waiter) || blocked.remove(waiter)
            if (stillWaiting) Err(deadlineRefusal(waiter.request)) else Ok(waiter.granted.getCompleted())
        }

    private fun immediateRefusal(request: SlotRequest): Refusal? {
        if (request.workClass != WorkClass.PUBLIC) return null
        if (shares.none { it.target.stage == TargetStage.SERVING }) return noTargetRefusal()
        val costAhead = queue.costAhead(request.organisation, request.workClass)
        val waitMs = drainRate.timeToDrainMs(costAhead, clock()) ?: return null
        return if (clock() + waitMs > request.deadlineMs) deadlineRefusal(request) else null
    }

    /** Grants free slots to waiting requests, blocked ones first. Called with the lock held. */
    private fun dispatchWaiting() {
        val waiting = blocked.toList()
        blocked.clear()
        waiting.forEach { if (!tryStart(it)) blocked.addLast(it) }
        while (queue.size > 0) {
            val item = queue.poll(::hasRoom) ?: return
            if (!tryStart(item.value)) blocked.addLast(item.value)
        }
    }

    private fun hasRoom(workClass: WorkClass): Boolean =
        pickTarget(candidates(), PickRequest(homeZone, reservedSlots = reservedSlots(workClass))) != null

    private fun tryStart(waiter: Waiter): Boolean {
        val request = waiter.request
        val pick =
            PickRequest(
                homeZone = homeZone,
                prefixKey = request.prefixKey,
                exclude = request.exclude,
                exclusive = request.exclusive,
                reservedSlots = reservedSlots(request.workClass),
            )
        val target = pickTarget(candidates(), pick)?.target ?: return false
        outstanding.merge(target.id, 1, Int::plus)
        if (request.exclusive) exclusiveTargets += target.id
        waiter.granted.complete(Slot(target, request.exclusive, request.cost))
        return true
    }

    private fun candidates(): List<Candidate> {
        val nowMs = clock()
        return shares.map { share ->
            val id = share.target.id
            Candidate(
                target = share.target,
                outstanding = outstanding[id] ?: 0,
                limit = share.limit,
                reportedLoad = share.reportedLoad,
                ejected = ejection.isEjected(id, nowMs),
                heldExclusively = id in exclusiveTargets,
                speed = speeds.relative(id),
                warmUpFraction = addedAtMs[id]?.let { minOf(1.0, (nowMs - it + 1.0) / WARM_UP_MS) } ?: 1.0,
            )
        }
    }

    private fun reservedSlots(workClass: WorkClass) = if (workClass == WorkClass.SAMPLES) reservedPublicSlots else 0

    private fun noTargetRefusal() =
        Refusal(
            kind = RefusalKind.NO_CAPACITY,
            message = "no target of this service is running; retry after the time given",
            notRun = true,
            retryAfterMs = NO_TARGET_RETRY_AFTER_MS,
        )

    private fun deadlineRefusal(request: SlotRequest) =
        Refusal(
            kind = RefusalKind.NO_CAPACITY,
            message = "no slot will be free before the request's deadline; retry after the time given",
            notRun = true,
            retryAfterMs =
                drainRate
                    .timeToDrainMs(queue.costAhead(request.organisation, request.workClass), clock())
                    ?.coerceIn(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS) ?: NO_TARGET_RETRY_AFTER_MS,
        )

    private companion object {
        const val WARM_UP_MS = 5_000.0
        const val NO_TARGET_RETRY_AFTER_MS = 2_000L
        const val MIN_RETRY_AFTER_MS = 250L
        const val MAX_RETRY_AFTER_MS = 30_000L
    }
}
