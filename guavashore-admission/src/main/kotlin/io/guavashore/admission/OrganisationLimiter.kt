/*
 * Limits of one organisation as far as this entry's share of them goes.
 */
package io.guavashore.admission

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.guavashore.api.Refusal
import io.guavashore.api.RefusalKind

/** This entry's part of an organisation's limits. */
data class LimitShare(
    val requestsPerS: Double,
    val tokensPerS: Double,
    val concurrentRequests: Long,
)

/** Limiter of one organisation on one entry. Not thread-safe. */
class OrganisationLimiter(
    share: LimitShare,
    nowMs: Long,
) {
    private var share = share
    private val requests = RateBucket(share.requestsPerS, nowMs)
    private val tokens = RateBucket(share.tokensPerS, nowMs)

    var running = 0L
        private set

    /** Requests that came since the last [takeArrivals], let in or not; the demand to report. */
    private var arrivals = 0L
    private var tokensAsked = 0L

    fun setShare(
        share: LimitShare,
        nowMs: Long,
    ) {
        this.share = share
        requests.setRate(share.requestsPerS, nowMs)
        tokens.setRate(share.tokensPerS, nowMs)
    }

    /** Lets in a request that may use [maxTokens] tokens, or says when to come back. */
    fun tryStart(
        maxTokens: Long,
        nowMs: Long,
    ): Result<Unit, Refusal> {
        arrivals++
        tokensAsked += maxTokens
        if (running >= share.concurrentRequests) return overLimit("concurrent requests", CONCURRENCY_RETRY_MS)
        if (!tokens.tryTake(maxTokens.toDouble(), nowMs)) {
            return overLimit("tokens per second", tokens.waitMs(maxTokens.toDouble(), nowMs))
        }
        if (!requests.tryTake(1.0, nowMs)) {
            tokens.giveBack(maxTokens.toDouble(), nowMs)
            return overLimit("requests per second", requests.waitMs(1.0, nowMs))
        }
        running++
        return Ok(Unit)
    }

    /** Ends a request that was let in with [maxTokens] and used [usedTokens]. */
    fun finish(
        maxTokens: Long,
        usedTokens: Long,
        nowMs: Long,
    ) {
        running--
        tokens.giveBack((maxTokens - usedTokens).toDouble(), nowMs)
    }

    /** Returns and resets the demand since the last call. */
    fun takeArrivals(): Arrivals =
        Arrivals(arrivals, tokensAsked).also {
            arrivals = 0
            tokensAsked = 0
        }

    /** Requests and tokens asked for, whether let in or not. */
    data class Arrivals(
        val requests: Long,
        val tokens: Long,
    )

    private fun overLimit(
        what: String,
        retryAfterMs: Long,
    ) = Err(
        Refusal(
            kind = RefusalKind.OVER_LIMIT,
            message = "the organisation's limit of $what is used up; come back after the time given",
            notRun = true,
            retryAfterMs = retryAfterMs,
        ),
    )

    private companion object {
        const val CONCURRENCY_RETRY_MS = 500L
    }
}
