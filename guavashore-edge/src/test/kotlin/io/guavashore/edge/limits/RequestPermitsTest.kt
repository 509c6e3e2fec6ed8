package io.guavashore.edge.limits

import io.guavashore.api.TargetId
import io.guavashore.api.VmId
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

@OptIn(ExperimentalCoroutinesApi::class)
class RequestPermitsTest {
    private val target = TargetId("t1")
    private val vms = List(7) { VmId("vm-$it") }
    private val calls = ArrayList<List<PermitRequest>>()

    /** Time by which the wall clock is ahead of the monotonic clock. */
    private var wallOffsetMs = 1_000_000_000L
    private var mayIssue = true

    private fun TestScope.limits(requestsPerS: Double) =
        TargetRateLimits({ currentTime }) { 1L }.apply { recordNamed(target, requestsPerS) }

    private fun TestScope.permits(
        limits: TargetRateLimits,
        self: VmId = vms[0],
        ask: AskCoordinator = { null },
    ) = RequestPermits(
        scope = backgroundScope,
        limits = limits,
        askCoordinator = ask,
        fleet = Fleet(self, { vms }, { mayIssue }) { currentTime + wallOffsetMs },
        clock = { currentTime },
        wallClock = { currentTime + wallOffsetMs },
    )

    private fun granting(): AskCoordinator =
        { requests ->
            calls += requests
            delay(5)
            requests.map { PermitDecision.Granted(target, waitMs = 0) }
        }

    @Test
    fun `requests that arrive during a call share the next one`() =
        runTest {
            val permits = permits(limits(10.0), ask = granting())
            List(20) { async { permits.obtain(listOf(target), maxWaitMs = 0) } }.awaitAll()
            assertEquals(20, calls.sumOf { it.size })
            assertTrue(calls.size <= 3, "calls of ${calls.map { it.size }}")
        }

    @Test
    fun `a permit expires, also if the VM was suspended and its monotonic clock stood still`() =
        runTest {
            val permits = permits(limits(10.0), ask = granting())
            val late = assertNotNull(permits.await(target, maxWaitMs = 0))
            assertTrue(late.isValid())
            delay(1_100)
            assertFalse(late.isValid())
            val suspended = assertNotNull(permits.await(target, maxWaitMs = 0))
            wallOffsetMs += 5_000
            assertFalse(suspended.isValid())
            val decidedLate =
                permits(limits(10.0)) { requests ->
                    wallOffsetMs += 5_000
                    requests.map { PermitDecision.Granted(target, waitMs = 0) }
                }
            assertFalse(assertNotNull(decidedLate.await(target, maxWaitMs = 0)).isValid())
        }

    @Test
    fun `a permit for a cold target expires soon, and one without limit ends when the target turns cold`() =
        runTest {
            var coldPerS: Double? = null
            val permits = permits(TargetRateLimits({ currentTime }, { coldPerS }) { 1L }, ask = granting())
            val unlimited = assertNotNull(permits.await(target, maxWaitMs = 0))
            assertTrue(unlimited.isValid())
            coldPerS = 7.6
            assertFalse(unlimited.isValid())
            val cold = assertNotNull(permits.await(target, maxWaitMs = 0))
            assertTrue(cold.isValid())
            delay(StrictLimit.VALIDITY_MS)
            assertFalse(cold.isValid())
            wallOffsetMs += 5_000
            val suspended = assertNotNull(permits.await(target, maxWaitMs = 0))
            wallOffsetMs += 5_000
            assertFalse(suspended.isValid())
        }

    @Test
    fun `without a coordinator the VMs take turns`() =
        runTest {
            val limits = limits(2.0)
            val granted =
                vms.count { permits(limits, it).obtain(listOf(target), maxWaitMs = 4_000) is PermitOutcome.Obtained }
            assertTrue(granted in 2..4, "$granted of ${vms.size} VMs got a permit for 4 s at 0.8 a second")
            val refused = permits(limits).let { all -> List(9) { all.obtain(listOf(target), maxWaitMs = 0) } }.last()
            assertTrue(assertIs<PermitOutcome.NoRoom>(refused).retryAfterMs > 0)
        }

    @Test
    fun `a coordinator that another VM may have replaced takes turns for its own requests`() =
        runTest {
            val limits = limits(2.0)
            val issuer = PermitIssuer(limits) { currentTime }
            val source = permits(limits).from(issuer)
            assertEquals(0, source.available(target), "the schedule starts empty")
            delay(1_000)
            assertEquals(1, source.available(target))
            assertNotNull(source.take(target))
            mayIssue = false
            var taken = 0
            repeat(400) {
                delay(100)
                if (source.available(target) > 0 && source.take(target) != null) taken++
            }
            assertTrue(taken in 3..6, "$taken requests in 40 s at 0.8 a second for 7 VMs")
        }
}
