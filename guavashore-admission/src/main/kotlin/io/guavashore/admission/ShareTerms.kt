/*
 * Times that allocator and holders of shares agree on.
 */
package io.guavashore.admission

/**
 * @property termMs how long a share lasts, counted by its holder from before it sent its report
 * @property marginMs what the allocator adds to be sure
 * @property silentAfterMs when the allocator sets aside the equal part of an entry that does not report
 */
data class ShareTerms(
    val termMs: Long = 6_000,
    val marginMs: Long = 1_000,
    val silentAfterMs: Long = 3_000,
) {
    /** From its share's end on, a holder waits this long before it uses its whole equal part. */
    val gapMs: Long get() = silentAfterMs + 2 * marginMs
}
