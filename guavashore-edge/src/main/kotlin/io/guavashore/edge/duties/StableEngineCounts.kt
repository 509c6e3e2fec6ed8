/*
 * Determines when the number of known engines of a service is complete enough for scaling.
 *
 * When a system starts, engines register one by one over several seconds. A scaling order states the total number of
 * engines that a zone should have, so an order based on a partial count would stop the engines not yet registered.
 */
package io.guavashore.edge.duties

import io.guavashore.api.MonotonicClock
import io.guavashore.api.ServiceId

/** Engine counts by service. Not thread-safe. */
class StableEngineCounts(
    private val clock: MonotonicClock,
) {
    private class Count(
        val engines: Int,
        val sinceMs: Long,
    )

    private val counts = HashMap<ServiceId, Count>()
    private val stable = HashSet<ServiceId>()

    /** Records the current number [engines]; true once it has not grown for [STABLE_AFTER_MS], and from then on. */
    fun isStable(
        service: ServiceId,
        engines: Int,
    ): Boolean {
        if (service in stable) return true
        val count = counts[service]
        if (count == null || engines > count.engines) counts[service] = Count(engines, clock())
        val sinceMs = counts.getValue(service).sinceMs
        if (engines > 0 && clock() - sinceMs >= STABLE_AFTER_MS) stable += service
        return service in stable
    }

    private companion object {
        /** Engines report every 1.2 s, and their entries become visible within another second. */
        const val STABLE_AFTER_MS = 3_000L
    }
}
