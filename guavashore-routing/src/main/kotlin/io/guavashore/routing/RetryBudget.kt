/*
 * Budget of retries: a small part of the first attempts, so that a failing pool is not loaded further by retries.
 */
package io.guavashore.routing

/**
 * Retries of one organisation. Not thread-safe.
 *
 * @param ratio retries allowed per first attempt
 * @param reserve retries allowed when there was little traffic
 */
class RetryBudget(
    private val ratio: Double = 0.15,
    private val reserve: Double = 3.0,
) {
    private var balance = reserve

    /** Counts a first attempt. */
    fun deposit() {
        balance = minOf(balance + ratio, MAX_BALANCE)
    }

    /** Takes one retry if the budget has one left. */
    fun tryWithdraw(): Boolean {
        if (balance < 1.0) return false
        balance -= 1.0
        return true
    }

    private companion object {
        const val MAX_BALANCE = 20.0
    }
}
