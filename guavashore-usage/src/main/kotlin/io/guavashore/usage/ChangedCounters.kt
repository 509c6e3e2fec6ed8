/*
 * Picks the counters that a receiver does not have yet, so that reports stay small.
 */
package io.guavashore.usage

import io.guavashore.api.CounterSource
import io.guavashore.api.MonotonicClock
import io.guavashore.api.UsageAmount
import io.guavashore.api.UsageCounter
import io.guavashore.api.UsageKey

/** What one receiver has confirmed. All is sent anew now and then, since a receiver may have been replaced. */
class ChangedCounters(
    private val clock: MonotonicClock,
    private val allEveryMs: Long = 30_000,
) {
    private val confirmed = HashMap<Pair<CounterSource, UsageKey>, UsageAmount>()
    private var allAtMs = 0L

    /** Counters of [all] to send now. */
    fun pick(all: List<UsageCounter>): List<UsageCounter> =
        synchronized(confirmed) {
            if (clock() - allAtMs >= allEveryMs) {
                confirmed.clear()
                allAtMs = clock()
            }
            all.filter { confirmed[it.source to it.key] != it.amount }
        }

    /** Records that [sent] has arrived. */
    fun confirm(sent: List<UsageCounter>) {
        synchronized(confirmed) { sent.forEach { confirmed[it.source to it.key] = it.amount } }
    }

    /** Forgets what was confirmed; for a new receiver. */
    fun reset() = synchronized(confirmed) { confirmed.clear() }
}
