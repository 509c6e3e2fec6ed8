/*
 * Usage of organisations, counted per window of the wall clock.
 */
package io.guavashore.api

import kotlinx.serialization.Serializable

/** Window of usage of one organisation; [windowStartMs] is a multiple of the team's window length. */
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

    /** The larger of each amount; merges two states of one grow-only counter. */
    fun max(other: UsageAmount) =
        UsageAmount(
            requests = maxOf(requests, other.requests),
            tokens = maxOf(tokens, other.tokens),
            samples = maxOf(samples, other.samples),
        )

    fun isZero() = requests == 0L && tokens == 0L && samples == 0L
}

/** Start of one process's counting: the VM it runs on and its incarnation. */
@Serializable
data class CounterSource(
    val vm: VmId,
    val incarnation: Incarnation,
)

/** Grow-only counter of one source for one window. */
@Serializable
data class UsageCounter(
    val source: CounterSource,
    val key: UsageKey,
    val amount: UsageAmount,
)
