/*
 * Enforces this entry node's share of an organisation's limits.
 */
package io.guavashore.admission

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.guavashore.api.Refusal
import io.guavashore.api.RefusalKind

/** This entry node's share of an organisation's limits. */
data class LimitShare(
    val requestsPerS: Double,
    val tokensPerS: Double,
    val concurrentRequests: Long,
)

/** Limiter for one organisation on one entry node. Not thread-safe. */
class OrganisationLimiter(
    share: LimitShare,
    nowMs: Long,
) {
    private var share = share
    private val requests = RateBucket(share.requestsPerS, nowMs)
    private val tokens = RateBucket(share.tokensPerS, nowMs)

    var running = 0L
        private set

    /** Requests since the last [takeArrivals], admitted or refused: the demand to report. */
    private var arrivals = 0L
    private var requestedTokens = 0L

    fun setShare(
        share: LimitShare,
        nowMs: Long,
    ) {
        this.share = share
        requests.setRate(share.requestsPerS, nowMs)
        tokens.setRate(share.tokensPerS, nowMs)
    }

    /** Admits a request that may use up to [maxTokens] tokens, or refuses it with the time to retry after. */
    fun tryStart(
        maxTokens: Long,
        nowMs: Long,
    ): Result<Unit, Refusal> {
        arrivals++
        requestedTokens += maxTokens
        if (running >= share.concurrentRequests) return overLimit("concurrent requests", CONCURRENCY_RETRY_AFTER_MS)
        if (!tokens.tryTake(maxTokens.toDouble(), nowMs)) {
            return overLimit("tokens per second", tokens.waitMs(maxTokens.toDouble(), nowMs))
        }
        if (!requests.tryTake(1.0, nowMs)) {
            tokens.refund(maxTokens.toDouble(), nowMs)
            return overLimit("requests per second", requests.waitMs(1.0, nowMs))
        }
        running++
        return Ok(Unit)
    }

    /** Records the end of a request that was admitted with [maxTokens] and used [usedTokens]; refunds the rest. */
    fun finish(
        maxTokens: Long,
        usedTokens: Long,
        nowMs: Long,
    ) {
        running--
        tokens.refund((maxTokens - usedTokens).toDouble(), nowMs)
    }

    /** Returns and resets the demand since the last call. */
    fun takeArrivals(): Arrivals =
        Arrivals(arrivals, requestedTokens).also {
            arrivals = 0
            requestedTokens = 0
        }

    /** Requests and requested tokens, whether admitted or refused. */
    data class Arrivals(
        val requests: Long,
        val tokens: Long,
    )

    private fun overLimit(
        limitName: String,
        retryAfterMs: Long,
    ) = Err(
        Refusal(
            kind = RefusalKind.OVER_LIMIT,
            message = "the organisation's limit of $limitName is exhausted; retry after the time given",
            notRun = true,
            retryAfterMs = retryAfterMs,
        ),
    )

    private companion object {
        const val CONCURRENCY_RETRY_AFTER_MS = 500L
    }
}
