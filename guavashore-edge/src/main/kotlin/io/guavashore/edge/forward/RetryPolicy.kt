/*
 * Retry policy for callers' requests: decides the next step after a failed attempt. No I/O.
 *
 * Load pattern: a target crashes, hangs or is full while tens of requests are in flight to it. A request that may run
 * more than once is retried on another target at once; any other is retried only if it certainly has not run. The
 * number of attempts is bounded, so that retries don't add load to a failing service.
 */
package io.guavashore.edge.forward

import io.guavashore.edge.declared.Route
import io.guavashore.edge.declared.RouteKind

/** Outcome of a failed attempt. */
enum class AttemptOutcome {
    /** No byte of the request left this VM. */
    NOT_SENT,

    /** The target reported that it did not run the request. */
    NOT_RUN,

    /** The request may have run. */
    UNCERTAIN,
}

/** Next step after a failed attempt. */
enum class NextStep {
    TRY_ANOTHER,

    /** Respond that the request has not run, with a time after which to retry. */
    REFUSE,

    /** Respond that the outcome is unknown. */
    FAIL,
}

/**
 * Attempts made for one request so far.
 *
 * @property mayHaveRun number of attempts whose target may have run the request
 * @property sent number of all attempts
 */
data class Attempts(
    val mayHaveRun: Int = 0,
    val sent: Int = 0,
) {
    fun after(outcome: AttemptOutcome) =
        Attempts(
            mayHaveRun = mayHaveRun + if (outcome == AttemptOutcome.UNCERTAIN) 1 else 0,
            sent = sent + 1,
        )
}

/** Returns the next step after an attempt that ended with [outcome], which [attempts] already includes. */
fun afterAttempt(
    route: Route,
    attempts: Attempts,
    outcome: AttemptOutcome,
    timeLeftMs: Long,
): NextStep {
    val repeatable = route.kind == RouteKind.SAFE || (route.kind == RouteKind.STREAMING && route.isResumable)
    if (outcome == AttemptOutcome.UNCERTAIN && !repeatable) return NextStep.FAIL
    val canRetry =
        timeLeftMs >= MIN_TIME_LEFT_MS &&
            attempts.mayHaveRun < route.maxAttempts &&
            attempts.sent < route.maxAttempts + EXTRA_SENDS
    if (canRetry) return NextStep.TRY_ANOTHER
    return if (attempts.mayHaveRun == 0) NextStep.REFUSE else NextStep.FAIL
}

/**
 * Time limit of one attempt. A hung target must not use up all the time of a repeatable request; the last attempt, and
 * the attempts of all other requests, may take all that is left.
 */
fun attemptTimeoutMs(
    route: Route,
    attempts: Attempts,
    timeLeftMs: Long,
): Long {
    val isLast = attempts.mayHaveRun + 1 >= route.maxAttempts
    if (route.kind != RouteKind.SAFE || isLast) return timeLeftMs
    return minOf(timeLeftMs, maxOf(route.objectiveMs * OBJECTIVES_PER_ATTEMPT, MIN_ATTEMPT_MS))
}

/** Attempts allowed beyond the maximum of the route, for requests that targets reject without running them. */
private const val EXTRA_SENDS = 2

/** With less time than this, no target could respond before the deadline. */
private const val MIN_TIME_LEFT_MS = 20L

/** A request takes a fifth of the objective on average; the slowest ones take about the whole objective. */
private const val OBJECTIVES_PER_ATTEMPT = 2L
private const val MIN_ATTEMPT_MS = 300L
