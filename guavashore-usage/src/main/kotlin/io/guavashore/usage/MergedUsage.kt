/*
 * Merges counters of many processes. Counters only grow and are merged by maximum, so that copies may arrive late, more
 * than once and in any order.
 */
package io.guavashore.usage

import io.guavashore.api.CounterSource
import io.guavashore.api.OrganisationId
import io.guavashore.api.TeamId
import io.guavashore.api.UsageAmount
import io.guavashore.api.UsageCounter
import io.guavashore.api.UsageKey

/** Largest known amount of each process's counters. Thread-safe. */
class MergedUsage {
    private val amounts = HashMap<Pair<CounterSource, UsageKey>, UsageAmount>()

    fun merge(counters: List<UsageCounter>) {
        synchronized(amounts) {
            counters.forEach { amounts.merge(it.source to it.key, it.amount, UsageAmount::max) }
        }
    }

    fun counters(): List<UsageCounter> =
        synchronized(amounts) { amounts.map { (id, amount) -> UsageCounter(id.first, id.second, amount) } }

    /** Removes counters of windows that start before [oldestMs]. */
    fun removeBefore(oldestMs: Long) {
        synchronized(amounts) { amounts.keys.removeIf { it.second.windowStartMs < oldestMs } }
    }
}

/** Totals per organisation of [team] in the window that starts at [windowStartMs]. */
fun List<UsageCounter>.totals(
    team: TeamId,
    windowStartMs: Long,
): Map<OrganisationId, UsageAmount> =
    filter { it.key.team == team && it.key.windowStartMs == windowStartMs }
        .groupBy { it.key.organisation }
        .mapValues { (_, counters) -> counters.fold(UsageAmount()) { sum, counter -> sum + counter.amount } }
