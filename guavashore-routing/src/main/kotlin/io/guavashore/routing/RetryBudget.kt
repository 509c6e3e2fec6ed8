/*
 * Retry budget: limits retries to a small fraction of the first attempts, so that retries do not overload a failing
 * pool.
 */
package io.guavashore.routing

/**
 * Retry budget of the calls on one pool. Not thread-safe.
 *
 * @param ratio retries added to the budget per first attempt
 * @param reserve initial budget, for retries before there has been much traffic
 */
class RetryBudget(
    private val ratio: Double = 0.15,
    private val reserve: Double = 3.0,
) {
    private var balance = reserve

    /** Counts a first attempt, which adds to the budget up to [MAX_BALANCE]. */
    fun deposit() {
        balance = minOf(balance + ratio, MAX_BALANCE)
    }

    /** Takes one retry from the budget; returns false if none is left. */
    fun tryWithdraw(): Boolean {
        if (balance < 1.0) return false
        balance -= 1.0
        return true
    }

    private companion object {
        const val MAX_BALANCE = 20.0
    }
}
