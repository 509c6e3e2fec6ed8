/*
 * Limits of one organisation on this entry: applies this entry's shares of them and reports the demand for them.
 */
package io.guavashore.entry

import com.github.michaelbull.result.Result
import io.guavashore.admission.Demand
import io.guavashore.admission.LimitShare
import io.guavashore.admission.OrganisationLimiter
import io.guavashore.admission.ResourceId
import io.guavashore.api.MonotonicClock
import io.guavashore.api.OrganisationId
import io.guavashore.api.Refusal
import io.guavashore.api.TeamId
import io.guavashore.wire.SharedResources

/** Returns the amount of a resource that this entry may use now. */
internal typealias Entitlement = (ResourceId) -> Long

/** Limiter of one organisation and its demand. Thread-safe. */
internal class OrganisationRuntime(
    private val team: TeamId,
    private val id: OrganisationId,
    private val clock: MonotonicClock,
) {
    private val limiter = OrganisationLimiter(LimitShare(0.0, 0.0, 0), clock())
    private var lastTakenAtMs = clock()
    private var requestsPerS = 0.0
    private var tokensPerS = 0.0

    @Synchronized
    fun setShares(entitlement: Entitlement) {
        val share =
            LimitShare(
                requestsPerS = entitlement(SharedResources.requests(team, id)) / SharedResources.RATE_SCALE.toDouble(),
                tokensPerS = entitlement(SharedResources.tokens(team, id)) / SharedResources.RATE_SCALE.toDouble(),
                concurrentRequests = entitlement(SharedResources.concurrency(team, id)),
            )
        limiter.setShare(share, clock())
    }

    @Synchronized
    fun tryStart(maxTokens: Long): Result<Unit, Refusal> = limiter.tryStart(maxTokens, clock())

    @Synchronized
    fun finish(
        maxTokens: Long,
        usedTokens: Long,
    ) = limiter.finish(maxTokens, usedTokens, clock())

    /** Demand from the arrivals since the last call, smoothed, with headroom for growth. */
    @Synchronized
    fun takeDemands(entitlement: Entitlement): Map<ResourceId, Demand> {
        val arrivals = limiter.takeArrivals()
        val elapsedMs = maxOf(1, clock() - lastTakenAtMs)
        lastTakenAtMs = clock()
        requestsPerS = smooth(requestsPerS, arrivals.requests * MS_PER_S / elapsedMs)
        tokensPerS = smooth(tokensPerS, arrivals.tokens * MS_PER_S / elapsedMs)
        val units = SharedResources.RATE_SCALE
        return mapOf(
            SharedResources.requests(team, id) to (requestsPerS * HEADROOM_FACTOR * units).toLong(),
            SharedResources.tokens(team, id) to (tokensPerS * HEADROOM_FACTOR * units).toLong(),
            SharedResources.concurrency(team, id) to
                (limiter.running * HEADROOM_FACTOR).toLong() + if (arrivals.requests > 0) 1 else 0,
        ).mapValues { (resource, desired) ->
            val inUse = if (resource == SharedResources.concurrency(team, id)) limiter.running else 0
            Demand(desired = desired, inUse = inUse, held = entitlement(resource))
        }
    }

    /** Exponential average that follows increases at once and decreases gradually. */
    private fun smooth(
        average: Double,
        latest: Double,
    ) = maxOf(latest, average * SMOOTHING_FACTOR + latest * (1 - SMOOTHING_FACTOR))

    private companion object {
        const val MS_PER_S = 1_000.0
        const val HEADROOM_FACTOR = 1.5
        const val SMOOTHING_FACTOR = 0.8
    }
}
