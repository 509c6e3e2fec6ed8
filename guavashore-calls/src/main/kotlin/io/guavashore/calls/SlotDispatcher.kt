/*
 * Slots of one pool on this entry: who waits, who runs where. Engines know no priorities and take requests as they
 * come, so a request is sent only when this entry's share of some target's slots has room.
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

/** A target of the pool, this entry's limit on it and its last reported load. */
data class TargetShare(
    val target: Target,
    val limit: Int,
    val reportedLoad: Double = 0.0,
)

/** How an attempt on a slot's target ended. */
enum class SlotOutcome { SUCCEEDED, TARGET_FAILED, ABANDONED }

/** Dispatcher of one pool. Thread-safe. */
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
    private val parked = ArrayDeque<Waiter>()
    private val ejection = OutlierEjection()
    private val outstanding = HashMap<TargetId, Int>()
    private val reserved = HashSet<TargetId>()
    private val warmUp = HashMap<TargetId, Long>()
    private var shares: List<TargetShare> = emptyList()
    private val drainRate = DrainRate()
    private val speeds = TargetSpeeds()

    /** Replaces the targets and this entry's limits on them. */
    fun update(newShares: List<TargetShare>) {
        synchronized(lock) {
            val nowMs = clock()
            val known = shares.map { it.target.id }.toSet()
            if (known.isNotEmpty()) {
                newShares.map { it.target.id }.filter { it !in known }.forEach { warmUp[it] = nowMs }
            }
            shares = newShares
            ejection.retain(newShares.map { it.target.id }.toSet())
            speeds.retain(newShares.map { it.target.id }.toSet())
            warmUp.keys.retainAll(newShares.map { it.target.id }.toSet())
            pump()
        }
    }

    /** Waits for a slot, or refuses: at once if the deadline can't be met, else when it passes. */
    suspend fun acquire(request: SlotRequest): Result<Slot, Refusal> {
        val waiter = Waiter(request)
        synchronized(lock) {
            refuseAtOnce(request)?.let { return Err(it) }
            queue.offer(QueueItem(waiter, request.organisation, request.workClass, request.cost, request.deadlineMs))
            pump()
        }
        if (!waiter.granted.isCompleted) onWaiting()
        return await(waiter)
    }

    /** Gives [slot] back. */
    fun release(
        slot: Slot,
        outcome: SlotOutcome,
    ) {
        val id = slot.target.id
        synchronized(lock) {
            outstanding.merge(id, -1, Int::plus)
            if (slot.alone) reserved.remove(id)
            when (outcome) {
                SlotOutcome.SUCCEEDED -> {
                    ejection.succeeded(id)
                    drainRate.drained(slot.cost, clock())
                }
                SlotOutcome.TARGET_FAILED -> ejection.failed(id, poolSize = shares.size, nowMs = clock())
                SlotOutcome.ABANDONED -> Unit
            }
            pump()
        }
    }

    /** Records that [target] did [work] within [elapsedMs]. */
    fun recordSpeed(
        target: TargetId,
        work: Int,
        elapsedMs: Long,
    ) = synchronized(lock) { speeds.record(target, work, elapsedMs) }

    /** Speed of [target] against the fastest of the pool, or null while nothing is known. */
    fun speedOf(target: TargetId): Double? = synchronized(lock) { speeds.known(target) }

    /** Requests of this entry that run on each target. */
    fun inFlight(): Map<TargetId, Int> = synchronized(lock) { outstanding.filterValues { it > 0 } }

    /** Requests that wait for a slot. */
    fun waiting(): Int = synchronized(lock) { queue.size + parked.size }

    /** Targets of the pool with this entry's limits. */
    fun targets(): List<TargetShare> = synchronized(lock) { shares }

    private suspend fun await(waiter: Waiter): Result<Slot, Refusal> {
        val leftMs = waiter.request.deadlineMs - clock()
        try {
            val slot = withTimeoutOrNull(leftMs) { waiter.granted.await() }
            return if (slot != null) Ok(slot) else giveUp(waiter)
        } catch (e: CancellationException) {
            giveUp(waiter).onSuccess { release(it, SlotOutcome.ABANDONED) }
            throw e
        }
    }

    /** Takes [waiter] out; if its slot was granted meanwhile, that is the answer. */
    private fun giveUp(waiter: Waiter): Result<Slot, Refusal> =
        synchronized(lock) {
            val stillWaiting = queue.remove(waiter) || parked.remove(waiter)
            if (stillWaiting) Err(tooLate(waiter.request)) else Ok(waiter.granted.getCompleted())
        }

    private fun refuseAtOnce(request: SlotRequest): Refusal? {
        if (request.workClass != WorkClass.PUBLIC) return null
        if (shares.none { it.target.stage == TargetStage.SERVING }) return noTarget()
        val waitMs = drainRate.timeMs(queue.costAhead(request.organisation, request.workClass), clock()) ?: return null
        return if (clock() + waitMs > request.deadlineMs) tooLate(request) else null
    }

    private fun pump() {
        val waiting = parked.toList()
        parked.clear()
        waiting.forEach { if (!tryStart(it)) parked.addLast(it) }
        while (queue.size > 0) {
            val item = queue.poll(::hasRoom) ?: return
            if (!tryStart(item.value)) parked.addLast(item.value)
        }
    }

    private fun hasRoom(workClass: WorkClass): Boolean =
        pickTarget(candidates(), PickRequest(homeZone, keepFree = keepFree(workClass))) != null

    private fun tryStart(waiter: Waiter): Boolean {
        val request = waiter.request
        val pick =
            PickRequest(
                homeZone = homeZone,
                prefixKey = request.prefixKey,
                exclude = request.exclude,
                alone = request.alone,
                keepFree = keepFree(request.workClass),
            )
        val target = pickTarget(candidates(), pick)?.target ?: return false
        outstanding.merge(target.id, 1, Int::plus)
        if (request.alone) reserved += target.id
        waiter.granted.complete(Slot(target, request.alone, request.cost))
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
                reserved = id in reserved,
                speed = speeds.relative(id),
                warmUp = warmUp[id]?.let { minOf(1.0, (nowMs - it + 1.0) / WARM_UP_MS) } ?: 1.0,
            )
        }
    }

    private fun keepFree(workClass: WorkClass) = if (workClass == WorkClass.SAMPLES) reservedPublicSlots else 0

    private fun noTarget() =
        Refusal(
            kind = RefusalKind.NO_CAPACITY,
            message = "no target of this service runs now; come back after the time given",
            notRun = true,
            retryAfterMs = NO_TARGET_RETRY_MS,
        )

    private fun tooLate(request: SlotRequest) =
        Refusal(
            kind = RefusalKind.NO_CAPACITY,
            message = "no slot comes free before the request's deadline; come back after the time given",
            notRun = true,
            retryAfterMs =
                drainRate
                    .timeMs(queue.costAhead(request.organisation, request.workClass), clock())
                    ?.coerceIn(SHORTEST_RETRY_MS, LONGEST_RETRY_MS) ?: NO_TARGET_RETRY_MS,
        )

    private companion object {
        const val WARM_UP_MS = 5_000.0
        const val NO_TARGET_RETRY_MS = 2_000L
        const val SHORTEST_RETRY_MS = 250L
        const val LONGEST_RETRY_MS = 30_000L
    }
}
