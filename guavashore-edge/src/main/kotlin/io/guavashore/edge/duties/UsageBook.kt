/*
 * Requests that began to run, per window and organisation, as all VMs counted them.
 */
package io.guavashore.edge.duties

import io.guavashore.api.Incarnation
import io.guavashore.api.OrganisationId
import io.guavashore.api.VmId
import io.guavashore.edge.peers.UsageCount

/** Counts of this VM and copies of its peers' counts. Counters only grow, so copies merge by maximum. */
class UsageBook(
    private val vm: VmId,
    private val incarnation: Incarnation,
    private val windowMs: Long,
    private val trueTimeMs: () -> Long,
) {
    private data class Source(
        val vm: VmId,
        val incarnation: Incarnation,
    )

    private val counts = HashMap<Source, HashMap<Pair<Long, OrganisationId>, Long>>()
    private val own = Source(vm, incarnation)

    fun windowAt(timeMs: Long): Long = Math.floorDiv(timeMs, windowMs)

    /** Counts one request that began just now. */
    fun count(organisation: OrganisationId) {
        val key = windowAt(trueTimeMs()) to organisation
        counts.getOrPut(own) { HashMap() }.merge(key, 1, Long::plus)
    }

    /** This VM's counts of windows that are not reported yet. */
    fun ownCounts(): List<UsageCount> {
        val oldest = windowAt(trueTimeMs()) - WINDOWS_TOLD
        return counts[own].orEmpty().filterKeys { it.first >= oldest }.map { (key, requests) ->
            UsageCount(key.first, key.second, requests)
        }
    }

    fun merge(
        vm: VmId,
        incarnation: Incarnation,
        told: List<UsageCount>,
    ) {
        if (told.isEmpty()) return
        val copy = counts.getOrPut(Source(vm, incarnation)) { HashMap() }
        told.forEach { copy.merge(it.window to it.organisation, it.requests, ::maxOf) }
    }

    /** Requests of [window] as known here. */
    fun total(window: Long): Map<OrganisationId, Long> {
        val sums = HashMap<OrganisationId, Long>()
        counts.values.forEach { copy ->
            copy.filterKeys { it.first == window }.forEach { (key, requests) ->
                sums.merge(key.second, requests, Long::plus)
            }
        }
        return sums
    }

    /** Forgets windows before [oldest]. */
    fun forgetBefore(oldest: Long) {
        counts.values.forEach { copy -> copy.keys.removeIf { it.first < oldest } }
        counts.values.removeIf { it.isEmpty() }
    }

    private companion object {
        /** Reports are sealed within one window's length after its end; one more bridges a change of coordinator. */
        const val WINDOWS_TOLD = 4
    }
}
