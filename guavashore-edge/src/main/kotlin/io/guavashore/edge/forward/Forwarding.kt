/*
 * What follows a failed attempt to pass a caller's request on. No I/O.
 *
 * Load pattern: a target dies, hangs or is full while tens of requests are on their way to it. A request that may run
 * twice goes to another target at once; one that may run once goes on only while it is certain that it has
 * not run. Attempts are bounded, so that a failing service is not loaded further by its retries.
 */
package io.guavashore.edge.forward

import io.guavashore.edge.declared.Route
import io.guavashore.edge.declared.RouteKind

/** How an attempt ended. */
enum class AttemptEnd {
    /** No byte of the request left this VM. */
    NOT_SENT,

    /** The target says that it did not run the request. */
    NOT_RUN,

    /** The request may have run. */
    UNCERTAIN,
}

/** What to do next. */
enum class NextStep {
    TRY_ANOTHER,

    /** Answer that the request has not run, and when to come back. */
    REFUSE,

    /** Answer that the outcome is unknown. */
    FAIL,
}

/** Attempts of one request so far. */
data class Attempts(
    val mayHaveRun: Int = 0,
    val sent: Int = 0,
) {
    fun after(end: AttemptEnd) =
        Attempts(
            mayHaveRun = mayHaveRun + if (end == AttemptEnd.UNCERTAIN) 1 else 0,
            sent = sent + 1,
        )
}

/** Decides after an attempt that ended with [end]; [attempts] counts it already. */
fun afterAttempt(
    route: Route,
    attempts: Attempts,
    end: AttemptEnd,
    timeLeftMs: Long,
): NextStep {
    val repeatable = route.kind == RouteKind.SAFE || (route.kind == RouteKind.STREAMING && route.isResumable)
    if (end == AttemptEnd.UNCERTAIN && !repeatable) return NextStep.FAIL
    val mayTry =
        timeLeftMs >= LEAST_TIME_LEFT_MS &&
            attempts.mayHaveRun < route.maxAttempts &&
            attempts.sent < route.maxAttempts + EXTRA_SENDS
    if (mayTry) return NextStep.TRY_ANOTHER
    return if (attempts.mayHaveRun == 0) NextStep.REFUSE else NextStep.FAIL
}

/**
 * Time that one attempt of a repeatable request gets: a hung target must not take all of it. The last attempt gets what
 * is left.
 */
fun attemptTimeMs(
    route: Route,
    attempts: Attempts,
    timeLeftMs: Long,
): Long {
    val isLast = attempts.mayHaveRun + 1 >= route.maxAttempts
    if (route.kind != RouteKind.SAFE || isLast) return timeLeftMs
    return minOf(timeLeftMs, maxOf(route.objectiveMs * OBJECTIVES_PER_ATTEMPT, LEAST_ATTEMPT_MS))
}

/** Sends beyond the allowed runs that targets may turn away unrun. */
private const val EXTRA_SENDS = 2

/** Below this no target could answer in time. */
private const val LEAST_TIME_LEFT_MS = 20L

/** Work takes a fifth of the objective on average and its far tail about once the objective. */
private const val OBJECTIVES_PER_ATTEMPT = 2L
private const val LEAST_ATTEMPT_MS = 300L
