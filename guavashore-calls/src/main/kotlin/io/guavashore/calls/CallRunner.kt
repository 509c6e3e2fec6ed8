/*
 * Attempts of one call: takes a slot, runs it on the slot's target, and follows the failure table until the call
 * has its final answer.
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

/**
 * A call to run.
 *
 * @property canContinue true if a later attempt goes on where an earlier one broke
 */
data class CallPlan(
    val slot: SlotRequest,
    val fingerprint: RequestFingerprint,
    val idempotent: Boolean,
    val canContinue: Boolean = false,
)

/** One attempt on [Target]; throws [TargetFailure]. */
typealias RunAttempt<T> = suspend (target: Target) -> T

/** Runs calls of one pool. Thread-safe. */
class CallRunner(
    private val dispatcher: SlotDispatcher,
    private val guard: SuspectGuard,
    private val isUp: IsTargetUp,
    private val onAttempt: (FailurePoint?) -> Unit = {},
) {
    private val budget = RetryBudget()

    /**
     * Runs [plan] by [attempt] until it has its final answer.
     *
     * @param deliveredSome tells whether the caller has had a part of the answer
     */
    suspend fun <T> run(
        plan: CallPlan,
        deliveredSome: () -> Boolean = { false },
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
            val breakPoint = outcome.getError() ?: return Ok(outcome.getOrThrow { error("no failure") })
            val history =
                AttemptHistory(
                    idempotent = plan.idempotent,
                    attempts = attempts,
                    mayHaveRunBefore = mayHaveRun,
                    canContinue = plan.canContinue,
                    deliveredSome = deliveredSome(),
                )
            val next = afterFailure(breakPoint, history) { synchronized(budget) { budget.tryWithdraw() } }
            if (next is NextStep.GiveUp) return Err(next.refusal)
            mayHaveRun = mayHaveRun || breakPoint.mayHaveRun
            tried += slot.target.id
        }
    }

    private suspend fun acquire(
        plan: CallPlan,
        tried: MutableSet<TargetId>,
    ): Result<Slot, Refusal> {
        val suspicion = guard.suspicion(plan.fingerprint)
        if (suspicion == Suspicion.POISON) return Err(guard.refusal())
        val serving = dispatcher.targets().filter { it.target.stage == TargetStage.SERVING }
        if (serving.all { it.target.id in tried }) tried.clear()
        return dispatcher.acquire(plan.slot.copy(exclude = tried.toSet(), alone = suspicion == Suspicion.RUN_ALONE))
    }

    /** Runs one attempt; gives its slot back whatever happens. */
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
            outcome = if (e.breakPoint == FailurePoint.TOO_LONG) SlotOutcome.ABANDONED else SlotOutcome.TARGET_FAILED
            onAttempt(e.breakPoint)
            noteCrash(slot.target, plan, e.breakPoint)
            return Err(e.breakPoint)
        } finally {
            dispatcher.release(slot, outcome)
        }
    }

    private suspend fun noteCrash(
        target: Target,
        plan: CallPlan,
        breakPoint: FailurePoint,
    ) {
        val mayBeCrash = breakPoint.mayHaveRun && breakPoint != FailurePoint.TOO_LONG
        if (mayBeCrash && !isUp(target)) guard.recordCrash(target.id, plan.fingerprint)
    }
}
