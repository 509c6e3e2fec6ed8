/*
 * Runs the attempts of a call: acquires a slot, runs an attempt on the slot's target, and retries as [decideRetry]
 * allows until the call has its final result.
 */
package io.guavashore.calls

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.getOrThrow
import io.guavashore.api.Refusal
import io.guavashore.api.Target
import io.guavashore.api.TargetId
import io.guavashore.api.TargetStage
import io.guavashore.routing.RequestFingerprint
import io.guavashore.routing.RetryBudget
import io.guavashore.routing.Suspicion
import kotlinx.coroutines.delay

/**
 * A call to run.
 *
 * @property idempotent true if the call may run more than once
 * @property canResume true if a further attempt continues after the output of a failed one
 * @property isOwed true if the call is part of work that was accepted for later; it is not refused as a poison request,
 * but runs alone on a target, with growing pauses after each crash
 */
data class CallPlan(
    val slot: SlotRequest,
    val fingerprint: RequestFingerprint,
    val idempotent: Boolean,
    val canResume: Boolean = false,
    val isOwed: Boolean = false,
)

/** Runs one attempt on a target; throws [TargetFailure]. */
typealias RunAttempt<T> = suspend (target: Target) -> T

/**
 * Runs calls on one pool. Thread-safe.
 *
 * @param onAttempt receives the failure point of each attempt, or null if the attempt succeeded
 */
class CallRunner(
    private val dispatcher: SlotDispatcher,
    private val guard: SuspectGuard,
    private val isUp: IsTargetUp,
    private val onAttempt: (FailurePoint?) -> Unit = {},
) {
    private val budget = RetryBudget()

    /**
     * Runs [attempt] for [plan] until the call succeeds or is refused.
     *
     * @param partiallyDelivered returns true if the caller has received part of the response
     */
    suspend fun <T> run(
        plan: CallPlan,
        partiallyDelivered: () -> Boolean = { false },
        attempt: RunAttempt<T>,
    ): Result<T, Refusal> {
        synchronized(budget) { budget.deposit() }
        var attempts = 0
        var mayHaveRun = false
        val tried = mutableSetOf<TargetId>()
        while (true) {
            val slot = acquire(plan, tried).getOrElse { return Err(it.copy(notRun = it.notRun && !mayHaveRun)) }
            attempts++
            val outcome = runOn(slot, plan, attempt)
            val failurePoint = outcome.getError() ?: return Ok(outcome.getOrThrow { error("success without a value") })
            val history =
                AttemptHistory(
                    idempotent = plan.idempotent,
                    attempts = attempts,
                    mayHaveRunBefore = mayHaveRun,
                    canResume = plan.canResume,
                    partiallyDelivered = partiallyDelivered(),
                )
            val next = decideRetry(failurePoint, history) { synchronized(budget) { budget.tryWithdraw() } }
            if (next is RetryDecision.GiveUp) return Err(next.refusal)
            mayHaveRun = mayHaveRun || failurePoint.mayHaveRun
            tried += slot.target.id
        }
    }

    /** Acquires a slot on a target not in [tried], which is cleared first if it contains all serving targets. */
    private suspend fun acquire(
        plan: CallPlan,
        tried: MutableSet<TargetId>,
    ): Result<Slot, Refusal> {
        val suspicion = guard.suspicion(plan.fingerprint)
        if (suspicion == Suspicion.POISON) {
            if (!plan.isOwed) return Err(guard.refusal())
            delay(CRASH_PAUSE_MS shl minOf(guard.crashes(plan.fingerprint), MAX_DOUBLINGS))
        }
        val serving = dispatcher.targets().filter { it.target.stage == TargetStage.SERVING }
        if (serving.all { it.target.id in tried }) tried.clear()
        return dispatcher.acquire(plan.slot.copy(exclude = tried.toSet(), exclusive = suspicion != Suspicion.NONE))
    }

    /** Runs one attempt and always releases its slot. */
    private suspend fun <T> runOn(
        slot: Slot,
        plan: CallPlan,
        attempt: RunAttempt<T>,
    ): Result<T, FailurePoint> {
        var outcome = SlotOutcome.ABANDONED
        try {
            val value = attempt(slot.target)
            outcome = SlotOutcome.SUCCEEDED
            guard.recordCompletion(plan.fingerprint)
            onAttempt(null)
            return Ok(value)
        } catch (e: TargetFailure) {
            outcome = if (e.failurePoint == FailurePoint.TOO_LONG) SlotOutcome.ABANDONED else SlotOutcome.TARGET_FAILED
            onAttempt(e.failurePoint)
            recordCrashIfDown(slot.target, plan, e.failurePoint)
            return Err(e.failurePoint)
        } finally {
            dispatcher.release(slot, outcome)
        }
    }

    /** Records the target as crashed by this call if it may have run the call and fails its health check. */
    private suspend fun recordCrashIfDown(
        target: Target,
        plan: CallPlan,
        failurePoint: FailurePoint,
    ) {
        val mayBeCrash = failurePoint.mayHaveRun && failurePoint != FailurePoint.TOO_LONG
        if (mayBeCrash && !isUp(target)) guard.recordCrash(target.id, plan.fingerprint)
    }

    private companion object {
        /** Base of the pause of owed work after a crash; doubles with each target that crashed, up to 3.2 s. */
        const val CRASH_PAUSE_MS = 100L
        const val MAX_DOUBLINGS = 5
    }
}
