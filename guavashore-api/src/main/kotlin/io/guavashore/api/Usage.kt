/*
 * Usage of organisations, counted in windows of the wall clock.
 */
package io.guavashore.api

import kotlinx.serialization.Serializable

/** Usage window of one organisation; [windowStartMs] is a multiple of the team's window length. */
@Serializable
data class UsageKey(
    val team: TeamId,
    val organisation: OrganisationId,
    val windowStartMs: Long,
)

/** Amounts delivered to callers. */
@Serializable
data class UsageAmount(
    val requests: Long = 0,
    val tokens: Long = 0,
    val samples: Long = 0,
) {
    operator fun plus(other: UsageAmount) =
        UsageAmount(
            requests = requests + other.requests,
            tokens = tokens + other.tokens,
            samples = samples + other.samples,
        )

    operator fun minus(other: UsageAmount) =
        UsageAmount(
            requests = requests - other.requests,
            tokens = tokens - other.tokens,
            samples = samples - other.samples,
        )

    /** Takes the larger value of each field; merges two states of the same grow-only counter. */
    fun max(other: UsageAmount) =
        UsageAmount(
            requests = maxOf(requests, other.requests),
            tokens = maxOf(tokens, other.tokens),
            samples = maxOf(samples, other.samples),
        )

    fun isZero() = requests == 0L && tokens == 0L && samples == 0L
}

/** Process that counts usage, identified by its VM and incarnation. */
@Serializable
data class CounterSource(
    val vm: VmId,
    val incarnation: Incarnation,
)

/** Grow-only usage counter of one source for one window. */
@Serializable
data class UsageCounter(
    val source: CounterSource,
    val key: UsageKey,
    val amount: UsageAmount,
)
