/*
 * What follows a failed attempt. Two promises rest on this table: "not run" is said only if no attempt can have
 * reached a target, and a request that is not idempotent is never tried again once one may have.
 */
package io.guavashore.calls

import io.guavashore.api.Refusal
import io.guavashore.api.RefusalKind

/** A request's attempts so far, the failed one included. */
data class AttemptHistory(
    val idempotent: Boolean,
    val attempts: Int,
    val mayHaveRunBefore: Boolean,
    val canContinue: Boolean = false,
    val deliveredSome: Boolean = false,
)

/** What to do after a failed attempt. */
sealed interface NextStep {
    data object TryAgain : NextStep

    data class GiveUp(
        val refusal: Refusal,
    ) : NextStep
}

/**
 * Decides what follows a failure at [breakPoint].
 *
 * @param takeRetry takes one retry out of the budget; asked only if a retry is allowed otherwise
 */
fun afterFailure(
    breakPoint: FailurePoint,
    history: AttemptHistory,
    maxAttempts: Int = 3,
    takeRetry: () -> Boolean,
): NextStep {
    val mayHaveRun = history.mayHaveRunBefore || breakPoint.mayHaveRun
    val mayRepeat = history.idempotent || !mayHaveRun
    val cleanStart = !history.deliveredSome || history.canContinue
    val repeatable = mayRepeat && cleanStart && breakPoint != FailurePoint.TOO_LONG
    if (repeatable && history.attempts < maxAttempts && takeRetry()) return NextStep.TryAgain
    return NextStep.GiveUp(refusalFor(breakPoint, history, mayHaveRun))
}

private fun refusalFor(
    breakPoint: FailurePoint,
    history: AttemptHistory,
    mayHaveRun: Boolean,
): Refusal =
    when {
        !mayHaveRun ->
            Refusal(
                kind = RefusalKind.NO_CAPACITY,
                message = "no target took the request; come back after the time given",
                notRun = true,
                retryAfterMs = RETRY_AFTER_MS,
            )
        breakPoint == FailurePoint.TOO_LONG ->
            Refusal(
                kind = RefusalKind.TARGET_FAILED,
                message = "the answer is longer than the service allows; ask for less or raise max_answer_bytes",
                notRun = false,
            )
        history.idempotent ->
            Refusal(
                kind = RefusalKind.TARGET_FAILED,
                message = "the targets failed while running the request; it may be sent again",
                notRun = false,
                retryAfterMs = RETRY_AFTER_MS,
            )
        else ->
            Refusal(
                kind = RefusalKind.OUTCOME_UNKNOWN,
                message = "the target failed and the request may have run; check its effect before sending it again",
                notRun = false,
            )
    }

private const val RETRY_AFTER_MS = 1_000L
