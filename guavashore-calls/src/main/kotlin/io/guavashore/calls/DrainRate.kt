/*
 * Rate at which a queue's cost was worked off lately.
 */
package io.guavashore.calls

/** Exponential average of cost per millisecond. Not thread-safe. */
internal class DrainRate(
    private val windowMs: Long = 5_000,
) {
    private var startedAtMs = 0L
    private var cost = 0L
    private var samples = 0
    private var ratePerMs = 0.0

    fun drained(
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

    /** Time to work off [ahead], or null while too little is known or nothing was worked off lately. */
    fun timeMs(
        ahead: Long,
        nowMs: Long,
    ): Long? {
        if (ratePerMs == 0.0 || nowMs - startedAtMs > windowMs * 2) return null
        return (ahead / ratePerMs).toLong()
    }
}
