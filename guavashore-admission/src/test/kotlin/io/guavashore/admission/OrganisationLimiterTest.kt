package io.guavashore.admission

import com.github.michaelbull.result.getError
import io.guavashore.api.RefusalKind
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class OrganisationLimiterTest {
    private val share = LimitShare(requestsPerS = 10.0, tokensPerS = 1_000.0, concurrentRequests = 1_000)

    @Test
    fun `admitted requests stay within five percent of the rate over a minute of excess demand`() {
        val limiter = OrganisationLimiter(share, nowMs = 0)
        val admitted = (0L until 60_000L step 7).count { limiter.tryStart(maxTokens = 1, nowMs = it).isOk }
        assertTrue(admitted in 570..630, "admitted $admitted of 600")
    }

    @Test
    fun `a refused request is admitted after the returned retry time`() {
        val limiter = OrganisationLimiter(share, nowMs = 0)
        repeat(10) { limiter.tryStart(maxTokens = 1, nowMs = 0) }
        val refusal = limiter.tryStart(maxTokens = 1, nowMs = 0).getError()
        assertEquals(RefusalKind.OVER_LIMIT, refusal?.kind)
        assertTrue(limiter.tryStart(maxTokens = 1, nowMs = refusal?.retryAfterMs ?: 0).isOk)
    }

    @Test
    fun `tokens are charged by use, not by the requested maximum`() {
        val limiter = OrganisationLimiter(share, nowMs = 0)
        assertTrue(limiter.tryStart(maxTokens = 1_000, nowMs = 0).isOk)
        assertEquals(RefusalKind.OVER_LIMIT, limiter.tryStart(maxTokens = 500, nowMs = 1).getError()?.kind)
        limiter.finish(maxTokens = 1_000, usedTokens = 10, nowMs = 2)
        assertTrue(limiter.tryStart(maxTokens = 500, nowMs = 3).isOk)
    }

    @Test
    fun `a request above the limit of concurrent requests is refused until another one ends`() {
        val limiter = OrganisationLimiter(share.copy(concurrentRequests = 2), nowMs = 0)
        assertTrue(limiter.tryStart(1, 0).isOk && limiter.tryStart(1, 0).isOk)
        assertEquals(RefusalKind.OVER_LIMIT, limiter.tryStart(1, 0).getError()?.kind)
        limiter.finish(1, 1, 1)
        assertTrue(limiter.tryStart(1, 1).isOk)
    }
}
