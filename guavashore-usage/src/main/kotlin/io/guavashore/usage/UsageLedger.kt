/*
 * Usage counted by one process: grow-only counters per team, organisation and window.
 */
package io.guavashore.usage

import io.guavashore.api.CounterSource
import io.guavashore.api.OrganisationId
import io.guavashore.api.TeamId
import io.guavashore.api.UsageAmount
import io.guavashore.api.UsageCounter
import io.guavashore.api.UsageKey
import io.guavashore.api.WallClock

/** Start of the window of length [windowMs] that contains [atMs], both as Unix time. */
fun windowStartMs(
    atMs: Long,
    windowMs: Long,
): Long = atMs - Math.floorMod(atMs, windowMs)

/** Counts the usage of this process. Drops windows that started more than [retentionMs] ago. Thread-safe. */
class UsageLedger(
    private val source: CounterSource,
    private val clock: WallClock,
    private val retentionMs: Long = 900_000,
) {
    private val amounts = HashMap<UsageKey, UsageAmount>()

    /** Adds [amount] to the current window. */
    fun add(
        team: TeamId,
        organisation: OrganisationId,
        windowMs: Long,
        amount: UsageAmount,
    ) {
        val key = UsageKey(team, organisation, windowStartMs(clock(), windowMs))
        synchronized(amounts) { amounts.merge(key, amount, UsageAmount::plus) }
    }

    /** Counters of all windows that have not expired. */
    fun counters(): List<UsageCounter> =
        synchronized(amounts) {
            val oldestMs = clock() - retentionMs
            amounts.keys.removeIf { it.windowStartMs < oldestMs }
            amounts.map { (key, amount) -> UsageCounter(source, key, amount) }
        }
}
