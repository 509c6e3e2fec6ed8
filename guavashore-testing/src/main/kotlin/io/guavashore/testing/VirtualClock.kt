/*
 * Clock that tests advance explicitly.
 */
package io.guavashore.testing

import io.guavashore.api.MonotonicClock

/** Clock, for use as monotonic or wall clock, whose time changes only by calls of [advanceMs]. */
class VirtualClock(
    private var nowMs: Long = 1_000_000,
) : MonotonicClock {
    override fun invoke(): Long = nowMs

    fun advanceMs(byMs: Long) {
        require(byMs >= 0) { "can't advance by $byMs ms: must be 0 or more" }
        nowMs += byMs
    }
}
