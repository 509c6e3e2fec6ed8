/*
 * Limits that targets in trouble set on the rate of their requests, as known to one VM.
 *
 * A target names its limit in its responses for as long as the limit is in force. Any response may name it, so a limit
 * is adopted from every one; it is lifted only by a genuine response to a request that was sent after the limit was
 * learned, because a late copy of an earlier response names none.
 */
package io.guavashore.edge.limits

import io.github.oshai.kotlinlogging.KotlinLogging
import io.guavashore.api.MonotonicClock
import io.guavashore.api.TargetId
import kotlinx.serialization.Serializable

private val log = KotlinLogging.logger {}

/**
 * Limit of one target, as sent between VMs.
 *
 * @property bornAtMs start time of the target's process, to which the limit applies; null if its entry states none
 * @property requestsPerS requests per second from all VMs together; null if the limit has been lifted
 * @property isStrict true in a request for a permit if the [StrictLimit] applies
 */
@Serializable
data class TargetRateLimit(
    val target: TargetId,
    val bornAtMs: Long?,
    val requestsPerS: Double?,
    val isStrict: Boolean = false,
)

/** Called for a genuine response that names no limit; `sentAtNs` is the monotonic time when its request was sent. */
typealias OnNoLimitNamed = (target: TargetId, sentAtNs: Long) -> Unit

/**
 * Limits known to one VM. Not thread-safe.
 *
 * @param coldStartsPerS requests per second that a target bears while it is cold; null unless it is
 * @param bornAtMs start time of a target's process according to its entry; null if unknown
 */
class TargetRateLimits(
    private val clock: MonotonicClock,
    private val coldStartsPerS: (TargetId) -> Double? = { null },
    private val bornAtMs: (TargetId) -> Long?,
) {
    private class Known(
        val requestsPerS: Double,
        val bornAtMs: Long?,
        val learnedAtMs: Long,
    )

    private val known = HashMap<TargetId, Known>()
    private val liftedAtMs = HashMap<TargetId, Long>()

    /** Requests per second that may be sent to [target]: the lower of its named limit and its cold rate, if any. */
    fun of(target: TargetId): Double? {
        val named = named(target)
        val cold = coldStartsPerS(target) ?: return named
        return if (named == null) cold else minOf(named, cold)
    }

    /** True while [target] is cold, so that its limit must hold as [StrictLimit] describes. */
    fun isStrict(target: TargetId): Boolean = coldStartsPerS(target) != null

    /** Requests per second that [target] takes according to its responses; null if it names no limit. */
    fun named(target: TargetId): Double? = known[target]?.takeIf { it.bornAtMs == bornAtMs(target) }?.requestsPerS

    /** All named limits in force. */
    fun inForce(): List<TargetRateLimit> =
        known.keys.mapNotNull { target -> named(target)?.let { TargetRateLimit(target, bornAtMs(target), it) } }

    /** Records that a response of [target] names a limit. Returns the change for the other VMs; null if none. */
    fun recordNamed(
        target: TargetId,
        requestsPerS: Double,
    ): TargetRateLimit? {
        if (named(target) == requestsPerS) return null
        set(target, requestsPerS, source = "response")
        return TargetRateLimit(target, bornAtMs(target), requestsPerS)
    }

    /**
     * Records that a genuine response of [target], to a request sent at [sentAtMs], names no limit. Returns the change
     * for the other VMs; null if there is none.
     */
    fun recordAbsent(
        target: TargetId,
        sentAtMs: Long,
    ): TargetRateLimit? {
        val limit = known[target] ?: return null
        if (sentAtMs <= limit.learnedAtMs) return null
        lift(target, source = "response")
        return TargetRateLimit(target, bornAtMs(target), requestsPerS = null)
    }

    /** Applies what another VM knows; returns true if it is news. */
    fun onPeerLimit(limit: TargetRateLimit): Boolean {
        if (limit.bornAtMs != bornAtMs(limit.target) || limit.requestsPerS == named(limit.target)) return false
        if (limit.requestsPerS == null) {
            lift(limit.target, source = "peer")
            return true
        }
        // A peer that has not heard of the lift yet may still send the limit.
        if (clock() - (liftedAtMs[limit.target] ?: Long.MIN_VALUE / 2) < LIFT_SETTLE_MS) return false
        set(limit.target, limit.requestsPerS, source = "peer")
        return true
    }

    /** Forgets all targets that are not in [targets]. */
    fun retain(targets: Set<TargetId>) {
        known.keys.retainAll(targets)
        liftedAtMs.keys.retainAll(targets)
    }

    private fun set(
        target: TargetId,
        requestsPerS: Double,
        source: String,
    ) {
        log.info {
            "target limits its requests: target=$target per_s=$requestsPerS before=${named(target)} source=$source " +
                "born_ms=${bornAtMs(target)}"
        }
        known[target] = Known(requestsPerS, bornAtMs(target), learnedAtMs = clock())
    }

    private fun lift(
        target: TargetId,
        source: String,
    ) {
        val limit = known.remove(target) ?: return
        liftedAtMs[target] = clock()
        log.info {
            "target no longer limits its requests: target=$target per_s=${limit.requestsPerS} source=$source " +
                "for_ms=${clock() - limit.learnedAtMs}"
        }
    }

    private companion object {
        /** A change reaches all live peers well within this time. */
        const val LIFT_SETTLE_MS = 1_000L
    }
}
