/*
 * Measured durations of the requests of each route, without the part that a slow target adds.
 */
package io.guavashore.edge.loads

import io.guavashore.edge.declared.Route
import io.guavashore.edge.declared.RouteId

/** Durations as seen by one VM. Not thread-safe. */
internal class ServiceTimes {
    private val averageMs = HashMap<RouteId, Double>()

    /** Records that a request took [durationMs] on a target with [slowdown]. */
    fun record(
        route: Route,
        durationMs: Long,
        slowdown: Double,
    ) {
        val usualMs = durationMs / maxOf(slowdown, 1.0)
        averageMs.merge(route.id, usualMs) { average, latest -> average + (latest - average) * LATEST_WEIGHT }
    }

    /** Measured duration of a request on an undisturbed target, in milliseconds; null before the first one. */
    fun measured(route: Route): Double? = averageMs[route.id]

    /** Expected duration of a request on an undisturbed target, in milliseconds; at least 1. */
    fun of(route: Route): Double =
        maxOf(1.0, measured(route) ?: (route.objectiveMs.toDouble() / UNMEASURED_PARTS_OF_OBJECTIVE))

    private companion object {
        /** Averages over about the latest ten requests. */
        const val LATEST_WEIGHT = 0.1

        /** Requests take a fifth of the objective on average. */
        const val UNMEASURED_PARTS_OF_OBJECTIVE = 5
    }
}
