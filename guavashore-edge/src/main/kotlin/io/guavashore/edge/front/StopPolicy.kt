/*
 * Decides which requests a VM that is stopping still takes. No I/O.
 *
 * Load pattern: the load balancer and callers with open connections go on sending for seconds after the stop signal, up
 * to the end of the grace period. A request that would still run at its end is refused at once, so that another VM
 * serves it; one that is taken gets a response before the end.
 */
package io.guavashore.edge.front

import io.guavashore.edge.declared.Route
import io.guavashore.edge.declared.RouteKind

/** Whether a request on [route] is taken that has [timeLeftMs] until its deadline, [stopInMs] before the VM ends. */
fun isTakenBeforeStop(
    route: Route,
    timeLeftMs: Long,
    stopInMs: Long,
): Boolean {
    // The objective of a stream is the time to its first event, and tells nothing about its end.
    val isStream = route.kind == RouteKind.STREAMING
    val neededMs = if (isStream) MIN_STREAM_MS else maxOf(route.objectiveMs * OBJECTIVES_PER_REQUEST, MIN_REQUEST_MS)
    return stopInMs >= minOf(timeLeftMs, neededMs)
}

/** The slowest requests take about the whole objective, and may be retried. */
private const val OBJECTIVES_PER_REQUEST = 4L
private const val MIN_REQUEST_MS = 1_000L

/** More than most streams take. */
private const val MIN_STREAM_MS = 4_200L
