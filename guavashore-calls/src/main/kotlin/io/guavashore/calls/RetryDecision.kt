/*
 * Decides whether a failed attempt is retried. Two guarantees depend on this decision: a request is reported as "not
 * run" only if no attempt can have reached a target, and a request that is not idempotent is never retried once an
 * attempt may have reached one.
 */
package io.guavashore.calls

import io.guavashore.api.Refusal
import io.guavashore.api.RefusalKind

/**
 * Attempts of a request so far, including the failed one.
 *
 * @property attempts number of attempts
 * @property mayHaveRunBefore true if an attempt before the failed one may have run
 * @property canResume true if a further attempt continues after the output of the earlier ones
 * @property partiallyDelivered true if the caller has received part of the response
 */
data class AttemptHistory(
    val idempotent: Boolean,
    val attempts: Int,
    val mayHaveRunBefore: Boolean,
    val canResume: Boolean = false,
    val partiallyDelivered: Boolean = false,
)

/** Decision after a failed attempt. */
sealed interface RetryDecision {
    data object Retry : RetryDecision

    data class GiveUp(
        val refusal: Refusal,
    ) : RetryDecision
}

/**
 * Decides whether to retry after a failure at [failurePoint].
 *
 * @param withdrawRetry withdraws one retry from the budget; called only if all other conditions allow a retry
 */
fun decideRetry(
    failurePoint: FailurePoint,
    history: AttemptHistory,
    maxAttempts: Int = 3,
    withdrawRetry: () -> Boolean,
): RetryDecision {
    val mayHaveRun = history.mayHaveRunBefore || failurePoint.mayHaveRun
    val safeToRepeat = history.idempotent || !mayHaveRun
    val avoidsDuplicateOutput = !history.partiallyDelivered || history.canResume
    val retryable = safeToRepeat && avoidsDuplicateOutput && failurePoint != FailurePoint.TOO_LONG
    if (retryable && history.attempts < maxAttempts && withdrawRetry()) return RetryDecision.Retry
    return RetryDecision.GiveUp(refusalFor(failurePoint, history, mayHaveRun))
}

private fun refusalFor(
    failurePoint: FailurePoint,
    history: AttemptHistory,
    mayHaveRun: Boolean,
): Refusal =
    when {
        !mayHaveRun ->
            Refusal(
                kind = RefusalKind.NO_CAPACITY,
                message = "no target accepted the request; retry after the time given",
                notRun = true,
                retryAfterMs = RETRY_AFTER_MS,
            )
        failurePoint == FailurePoint.TOO_LONG ->
            Refusal(
                kind = RefusalKind.TARGET_FAILED,
                message = "the response exceeds the service's max_answer_bytes; request less or raise that limit",
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
