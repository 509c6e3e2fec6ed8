/*
 * Durations that the allocator and the holders of shares must agree on.
 */
package io.guavashore.admission

/**
 * @property durationMs validity of a share, counted by its holder from before it sent its report
 * @property marginMs safety margin that the allocator adds to a share's duration
 * @property silentAfterMs time without a report after which the allocator reserves an entry node's equal share
 */
data class ShareTiming(
    val durationMs: Long = 6_000,
    val marginMs: Long = 1_000,
    val silentAfterMs: Long = 3_000,
) {
    /** Time after a share's expiry before its holder may use its full equal share. */
    val fallbackDelayMs: Long get() = silentAfterMs + 2 * marginMs
}
