/*
 * Limits of one organisation on this entry.
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

/** Returns this entry's entitlement to a resource. */
internal typealias Entitlement = (ResourceId) -> Long

/** Thread-safe limiter of one organisation, and the demand that it reports. */
internal class OrganisationRuntime(
    private val team: TeamId,
    private val id: OrganisationId,
    private val clock: MonotonicClock,
) {
    private val limiter = OrganisationLimiter(LimitShare(0.0, 0.0, 0), clock())
    private var reportedAtMs = clock()
    private var requestsPerS = 0.0
    private var tokensPerS = 0.0

    @Synchronized
    fun setShares(entitlement: Entitlement) {
        val share =
            LimitShare(
                requestsPerS = entitlement(SharedResources.requests(team, id)) / SharedResources.RATE_UNITS.toDouble(),
                tokensPerS = entitlement(SharedResources.tokens(team, id)) / SharedResources.RATE_UNITS.toDouble(),
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

    /** Demand since the last call, smoothed, with headroom for growth. */
    @Synchronized
    fun takeDemands(entitlement: Entitlement): Map<ResourceId, Demand> {
        val arrivals = limiter.takeArrivals()
        val elapsedMs = maxOf(1, clock() - reportedAtMs)
        reportedAtMs = clock()
        requestsPerS = smooth(requestsPerS, arrivals.requests * MS_PER_S / elapsedMs)
        tokensPerS = smooth(tokensPerS, arrivals.tokens * MS_PER_S / elapsedMs)
        val units = SharedResources.RATE_UNITS
        return mapOf(
            SharedResources.requests(team, id) to (requestsPerS * HEADROOM * units).toLong(),
            SharedResources.tokens(team, id) to (tokensPerS * HEADROOM * units).toLong(),
            SharedResources.concurrency(team, id) to
                (limiter.running * HEADROOM).toLong() + if (arrivals.requests > 0) 1 else 0,
        ).mapValues { (resource, wanted) ->
            val inUse = if (resource == SharedResources.concurrency(team, id)) limiter.running else 0
            Demand(wanted = wanted, inUse = inUse, held = entitlement(resource))
        }
    }

    private fun smooth(
        average: Double,
        now: Double,
    ) = maxOf(now, average * SMOOTHING + now * (1 - SMOOTHING))

    private companion object {
        const val MS_PER_S = 1_000.0
        const val HEADROOM = 1.5
        const val SMOOTHING = 0.8
    }
}
