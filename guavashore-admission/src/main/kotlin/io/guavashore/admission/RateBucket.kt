/*
 * Token bucket on the monotonic clock.
 */
package io.guavashore.admission

/**
 * Bucket that refills at a rate and holds at most [burstMs] of it. Not thread-safe.
 *
 * @param burstMs how long a caller that was silent may run above the rate
 */
class RateBucket(
    ratePerS: Double,
    nowMs: Long,
    private val burstMs: Long = 1_000,
) {
    private var ratePerMs = ratePerS / MS_PER_S
    private var level = burst()
    private var updatedAtMs = nowMs

    /** Sets the rate from [nowMs] on; the level is cut to the new burst. */
    fun setRate(
        ratePerS: Double,
        nowMs: Long,
    ) {
        refill(nowMs)
        ratePerMs = ratePerS / MS_PER_S
        level = minOf(level, burst())
    }

    /** Takes [amount] if it is there. */
    fun tryTake(
        amount: Double,
        nowMs: Long,
    ): Boolean {
        refill(nowMs)
        if (level < minOf(amount, burst())) return false
        level -= amount
        return true
    }

    /** Returns what was taken but not used, or takes what was used on top (negative [amount]). */
    fun giveBack(
        amount: Double,
        nowMs: Long,
    ) {
        refill(nowMs)
        level = minOf(level + amount, burst())
    }

    /** Time until [amount] can be taken. */
    fun waitMs(
        amount: Double,
        nowMs: Long,
    ): Long {
        refill(nowMs)
        val missing = minOf(amount, burst()) - level
        if (missing <= 0) return 0
        if (ratePerMs <= 0) return LONGEST_WAIT_MS
        return minOf(LONGEST_WAIT_MS, (missing / ratePerMs).toLong() + 1)
    }

    private fun refill(nowMs: Long) {
        level = minOf(level + (nowMs - updatedAtMs) * ratePerMs, burst())
        updatedAtMs = nowMs
    }

    private fun burst() = maxOf(1.0, ratePerMs * burstMs)

    private companion object {
        const val MS_PER_S = 1_000.0
        const val LONGEST_WAIT_MS = 60_000L
    }
}
