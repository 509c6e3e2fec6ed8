/*
 * Tells when the engines of a service may be taken as all known.
 *
 * Load pattern: at the start of a system, engines enter themselves in the directory one after the other over some
 * seconds. An order names the number of engines that a zone should have, so one that goes by a part of them takes the
 * others away.
 */
package io.guavashore.edge.duties

import io.guavashore.api.MonotonicClock
import io.guavashore.api.ServiceId

/** Counts of engines by service. Not thread-safe. */
class SettledCounts(
    private val clock: MonotonicClock,
) {
    private class Count(
        val engines: Int,
        val sinceMs: Long,
    )

    private val counts = HashMap<ServiceId, Count>()
    private val known = HashSet<ServiceId>()

    /** Takes in the present number; true once it has not grown for a while, and from then on. */
    fun isSettled(
        service: ServiceId,
        engines: Int,
    ): Boolean {
        if (service in known) return true
        val count = counts[service]
        if (count == null || engines > count.engines) counts[service] = Count(engines, clock())
        val sinceMs = counts.getValue(service).sinceMs
        if (engines > 0 && clock() - sinceMs >= QUIET_MS) known += service
        return service in known
    }

    private companion object {
        /** Engines report every 1.2 s, and entries show up within a second of that. */
        const val QUIET_MS = 3_000L
    }
}
