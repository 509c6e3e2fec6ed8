/*
 * Token bucket, driven by the monotonic clock.
 */
package io.guavashore.admission

/**
 * Bucket that refills at a constant rate, up to a capacity of [burstMs] at that rate and at least 1. Not thread-safe.
 *
 * @param burstMs length of the burst that an idle caller may send at once, as time at the rate
 */
class RateBucket(
    ratePerS: Double,
    nowMs: Long,
    private val burstMs: Long = 1_000,
) {
    private var ratePerMs = ratePerS / MS_PER_S
    private var level = capacity()
    private var updatedAtMs = nowMs

    /** Sets the rate from [nowMs] on; the level is capped at the new capacity. */
    fun setRate(
        ratePerS: Double,
        nowMs: Long,
    ) {
        refill(nowMs)
        ratePerMs = ratePerS / MS_PER_S
        level = minOf(level, capacity())
    }

    /** Takes [amount] if available. An amount above the capacity is taken from a full bucket, into debt. */
    fun tryTake(
        amount: Double,
        nowMs: Long,
    ): Boolean {
        refill(nowMs)
        if (level < minOf(amount, capacity())) return false
        level -= amount
        return true
    }

    /** Returns an amount that was taken but not used; a negative [amount] charges use beyond what was taken. */
    fun refund(
        amount: Double,
        nowMs: Long,
    ) {
        refill(nowMs)
        level = minOf(level + amount, capacity())
    }

    /** Time in ms until [amount] can be taken, at most [MAX_WAIT_MS]; the maximum if the rate is 0. */
    fun waitMs(
        amount: Double,
        nowMs: Long,
    ): Long {
        refill(nowMs)
        val missing = minOf(amount, capacity()) - level
        if (missing <= 0) return 0
        if (ratePerMs <= 0) return MAX_WAIT_MS
        return minOf(MAX_WAIT_MS, (missing / ratePerMs).toLong() + 1)
    }

    private fun refill(nowMs: Long) {
        level = minOf(level + (nowMs - updatedAtMs) * ratePerMs, capacity())
        updatedAtMs = nowMs
    }

    private fun capacity() = maxOf(1.0, ratePerMs * burstMs)

    private companion object {
        const val MS_PER_S = 1_000.0
        const val MAX_WAIT_MS = 60_000L
    }
}
