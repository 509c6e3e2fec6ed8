/*
 * Started requests per usage window and organisation, as counted by all VMs.
 */
package io.guavashore.edge.duties

import io.guavashore.api.Incarnation
import io.guavashore.api.OrganisationId
import io.guavashore.api.VmId
import io.guavashore.edge.peers.UsageCount

/**
 * Counters of this VM and copies of its peers' counters. Counters only grow, so copies are merged by maximum.
 * Not thread-safe.
 */
class UsageCounters(
    private val vm: VmId,
    private val incarnation: Incarnation,
    private val windowMs: Long,
    private val medianTimeMs: () -> Long,
) {
    /** Process that counted the requests; a restarted process counts from zero. */
    private data class Source(
        val vm: VmId,
        val incarnation: Incarnation,
    )

    private val counts = HashMap<Source, HashMap<Pair<Long, OrganisationId>, Long>>()
    private val own = Source(vm, incarnation)

    /** Number of the usage window that contains [timeMs], in Unix milliseconds. */
    fun windowAt(timeMs: Long): Long = Math.floorDiv(timeMs, windowMs)

    /** Counts one request that starts now. */
    fun count(organisation: OrganisationId) {
        val key = windowAt(medianTimeMs()) to organisation
        counts.getOrPut(own) { HashMap() }.merge(key, 1, Long::plus)
    }

    /** This VM's counts of windows that may not have been reported yet, to be sent to peers. */
    fun ownCounts(): List<UsageCount> {
        val oldest = windowAt(medianTimeMs()) - SHARED_WINDOWS
        return counts[own].orEmpty().filterKeys { it.first >= oldest }.map { (key, requests) ->
            UsageCount(key.first, key.second, requests)
        }
    }

    /** Merges counts that process [incarnation] of [vm] has sent. */
    fun merge(
        vm: VmId,
        incarnation: Incarnation,
        received: List<UsageCount>,
    ) {
        if (received.isEmpty()) return
        val copy = counts.getOrPut(Source(vm, incarnation)) { HashMap() }
        received.forEach { copy.merge(it.window to it.organisation, it.requests, ::maxOf) }
    }

    /** Sum of all known counts of [window], by organisation. */
    fun total(window: Long): Map<OrganisationId, Long> {
        val sums = HashMap<OrganisationId, Long>()
        counts.values.forEach { copy ->
            copy.filterKeys { it.first == window }.forEach { (key, requests) ->
                sums.merge(key.second, requests, Long::plus)
            }
        }
        return sums
    }

    /** Discards counts of windows before [oldest]. */
    fun discardBefore(oldest: Long) {
        counts.values.forEach { copy -> copy.keys.removeIf { it.first < oldest } }
        counts.values.removeIf { it.isEmpty() }
    }

    private companion object {
        /**
         * Past windows whose counts are sent to peers. A window is sealed within one window length after its end; one
         * more covers a failover.
         */
        const val SHARED_WINDOWS = 4
    }
}
