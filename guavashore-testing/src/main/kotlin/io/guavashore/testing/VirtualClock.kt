/*
 * Clock that tests move by hand.
 */
package io.guavashore.testing

import io.guavashore.api.MonotonicClock

/** Monotonic and wall clock whose time moves only by [advanceMs]. */
class VirtualClock(
    private var nowMs: Long = 1_000_000,
) : MonotonicClock {
    override fun invoke(): Long = nowMs

    fun advanceMs(byMs: Long) {
        require(byMs >= 0) { "time can't go back by $byMs ms" }
        nowMs += byMs
    }
}
