/*
 * Recent rate at which queued work was completed.
 */
package io.guavashore.calls

/** Exponential moving average of completed cost per millisecond. Not thread-safe. */
internal class DrainRate(
    private val windowMs: Long = 5_000,
) {
    private var startedAtMs = 0L
    private var cost = 0L
    private var samples = 0
    private var ratePerMs = 0.0

    fun recordDrained(
        amount: Long,
        nowMs: Long,
    ) {
        if (samples == 0) startedAtMs = nowMs
        cost += amount
        samples++
        val elapsedMs = nowMs - startedAtMs
        if (elapsedMs < windowMs) return
        val recent = cost.toDouble() / elapsedMs
        ratePerMs = if (ratePerMs == 0.0) recent else (ratePerMs + recent) / 2
        startedAtMs = nowMs
        cost = 0
    }

    /**
     * Time in ms to complete work of cost [ahead]; null before the first full window or if no work was completed
     * recently.
     */
    fun timeToDrainMs(
        ahead: Long,
        nowMs: Long,
    ): Long? {
        if (ratePerMs == 0.0 || nowMs - startedAtMs > windowMs * 2) return null
        return (ahead / ratePerMs).toLong()
    }
}
