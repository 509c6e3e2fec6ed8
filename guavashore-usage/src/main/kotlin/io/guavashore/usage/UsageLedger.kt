/*
 * Usage of one process, as grow-only counters per organisation and window.
 */
package io.guavashore.usage

import io.guavashore.api.CounterSource
import io.guavashore.api.OrganisationId
import io.guavashore.api.TeamId
import io.guavashore.api.UsageAmount
import io.guavashore.api.UsageCounter
import io.guavashore.api.UsageKey
import io.guavashore.api.WallClock

/** Start of the window of [windowMs] that [atMs] falls into. */
fun windowStartMs(
    atMs: Long,
    windowMs: Long,
): Long = atMs - Math.floorMod(atMs, windowMs)

/** Counts what this process delivered. Thread-safe. */
class UsageLedger(
    private val source: CounterSource,
    private val clock: WallClock,
    private val keepMs: Long = 900_000,
) {
    private val amounts = HashMap<UsageKey, UsageAmount>()

    /** Adds [amount], delivered just now. */
    fun add(
        team: TeamId,
        organisation: OrganisationId,
        windowMs: Long,
        amount: UsageAmount,
    ) {
        val key = UsageKey(team, organisation, windowStartMs(clock(), windowMs))
        synchronized(amounts) { amounts.merge(key, amount, UsageAmount::plus) }
    }

    /** All counters of windows that are not too old to be reported. */
    fun counters(): List<UsageCounter> =
        synchronized(amounts) {
            val oldestMs = clock() - keepMs
            amounts.keys.removeIf { it.windowStartMs < oldestMs }
            amounts.map { (key, amount) -> UsageCounter(source, key, amount) }
        }
}
