/*
 * Selects the counters whose current amount a receiver has not confirmed, so that reports stay small.
 */
package io.guavashore.usage

import io.guavashore.api.CounterSource
import io.guavashore.api.MonotonicClock
import io.guavashore.api.UsageAmount
import io.guavashore.api.UsageCounter
import io.guavashore.api.UsageKey

/**
 * Amounts that one receiver has confirmed. All counters are sent again every [fullResendIntervalMs], since the receiver
 * may have been replaced by one without them. Thread-safe.
 */
class ChangedCounters(
    private val clock: MonotonicClock,
    private val fullResendIntervalMs: Long = 30_000,
) {
    private val confirmed = HashMap<Pair<CounterSource, UsageKey>, UsageAmount>()
    private var lastFullSendAtMs = 0L

    /** Returns the counters of [all] to send now. */
    fun pick(all: List<UsageCounter>): List<UsageCounter> =
        synchronized(confirmed) {
            if (clock() - lastFullSendAtMs >= fullResendIntervalMs) {
                confirmed.clear()
                lastFullSendAtMs = clock()
            }
            all.filter { confirmed[it.source to it.key] != it.amount }
        }

    /** Records that the receiver has confirmed the counters [sent]. */
    fun confirm(sent: List<UsageCounter>) {
        synchronized(confirmed) { sent.forEach { confirmed[it.source to it.key] = it.amount } }
    }

    /** Drops all confirmations, for a new receiver. */
    fun reset() = synchronized(confirmed) { confirmed.clear() }
}
