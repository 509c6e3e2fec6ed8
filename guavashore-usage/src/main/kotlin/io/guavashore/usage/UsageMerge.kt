/*
 * Copies of many processes' counters. Merging is by maximum, so copies may come in any order, twice or late.
 */
package io.guavashore.usage

import io.guavashore.api.CounterSource
import io.guavashore.api.OrganisationId
import io.guavashore.api.TeamId
import io.guavashore.api.UsageAmount
import io.guavashore.api.UsageCounter
import io.guavashore.api.UsageKey

/** Merged counters. Thread-safe. */
class UsageMerge {
    private val amounts = HashMap<Pair<CounterSource, UsageKey>, UsageAmount>()

    fun merge(counters: List<UsageCounter>) {
        synchronized(amounts) {
            counters.forEach { amounts.merge(it.source to it.key, it.amount, UsageAmount::max) }
        }
    }

    fun counters(): List<UsageCounter> =
        synchronized(amounts) { amounts.map { (id, amount) -> UsageCounter(id.first, id.second, amount) } }

    /** Forgets windows that start before [oldestMs]. */
    fun forgetBefore(oldestMs: Long) {
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
