package io.guavashore.targets

import io.guavashore.api.Endpoint
import io.guavashore.api.PoolId
import io.guavashore.api.PoolZoneDeclaration
import io.guavashore.api.ScalePolicy
import io.guavashore.api.TargetId
import io.guavashore.api.TargetKind
import io.guavashore.api.TeamId
import io.guavashore.api.VmId
import io.guavashore.api.ZoneId
import io.guavashore.platform.PlatformStage
import io.guavashore.platform.PlatformTarget
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

class ScalePlanTest {
    private val bounds = PoolZoneDeclaration(ZoneId("a"), minTargets = 1, maxTargets = 4)

    private fun targets(
        count: Int,
        cheap: Boolean = true,
        stage: PlatformStage = PlatformStage.RUNNING,
    ) = List(count) {
        PlatformTarget(
            id = TargetId("t$it"),
            team = TeamId("t"),
            pool = PoolId("p"),
            kind = TargetKind.MODEL,
            zone = ZoneId("a"),
            endpoint = Endpoint("127.0.0.1", 1),
            cheap = cheap,
            stage = stage,
            startedAtMs = it.toLong(),
        )
    }

    private fun PoolScaler.step(
        present: List<PlatformTarget>,
        inUse: Long,
        nowMs: Long = 0,
        policy: ScalePolicy = ScalePolicy.COST_FIRST,
    ) = next(bounds, slotsPerTarget = 8, ScaleThresholds.of(policy), present, PoolLoad(inUse, waiting = 0), nowMs)

    @Nested
    inner class `scaling up` {
        @Test
        fun `scaling up starts cheap targets until the declared maximum is reached`() {
            assertEquals(ScaleStep.Start(cheap = true), PoolScaler().step(targets(2), inUse = 20))
            assertEquals(ScaleStep.Keep, PoolScaler().step(targets(4), inUse = 100))
        }

        @Test
        fun `scaling up starts regular targets for 30 s after no cheap one was available, then cheap ones`() {
            val scaler = PoolScaler().apply { recordCheapUnavailable(nowMs = 0) }
            assertEquals(ScaleStep.Start(cheap = false), scaler.step(targets(1), inUse = 20, nowMs = 29_999))
            assertEquals(ScaleStep.Start(cheap = true), scaler.step(targets(1), inUse = 20, nowMs = 30_000))
        }

        @Test
        fun `scaling up replaces targets that the platform reclaims`() {
            val reclaimed = targets(3, stage = PlatformStage.RECLAIMING)
            assertIs<ScaleStep.Start>(PoolScaler().step(reclaimed, inUse = 0))
        }

        @Test
        fun `scaling up starts at a lower load under IDLE_TIME_FIRST than under COST_FIRST`() {
            assertEquals(ScaleStep.Keep, PoolScaler().step(targets(2), inUse = 12))
            assertIs<ScaleStep.Start>(PoolScaler().step(targets(2), inUse = 12, policy = ScalePolicy.IDLE_TIME_FIRST))
        }
    }

    @Nested
    inner class `scaling down` {
        @Test
        fun `scaling down waits until the load was low for the full delay, and retires a regular target first`() {
            val scaler = PoolScaler()
            val present = targets(2) + targets(1, cheap = false).map { it.copy(id = TargetId("regular")) }
            assertEquals(ScaleStep.Keep, scaler.step(present, inUse = 1, nowMs = 0))
            assertEquals(ScaleStep.Keep, scaler.step(present, inUse = 15, nowMs = 20_000))
            assertEquals(ScaleStep.Keep, scaler.step(present, inUse = 1, nowMs = 25_000))
            assertEquals(ScaleStep.Keep, scaler.step(present, inUse = 1, nowMs = 54_999))
            val retire = assertIs<ScaleStep.Retire>(scaler.step(present, inUse = 1, nowMs = 55_000))
            assertEquals("regular", retire.target.id.value)
        }

        @Test
        fun `the number of targets does not flap while the load oscillates around the slots of one target`() {
            val scaler = PoolScaler()
            var count = 2
            var changes = 0
            (0L..600_000L step 1_000).forEach { nowMs ->
                val inUse = if (nowMs / 10_000 % 2 == 0L) 6L else 9L
                when (scaler.step(targets(count), inUse, nowMs)) {
                    is ScaleStep.Start -> count++.also { changes++ }
                    is ScaleStep.Retire -> count--.also { changes++ }
                    ScaleStep.Keep -> Unit
                }
            }
            assertEquals(0, changes)
        }
    }

    @Nested
    inner class `a draining target` {
        private val target = TargetId("t1")
        private val entries = setOf(VmId("a"), VmId("b"))

        @Test
        fun `a target is drained once every live entry sees it leaving and has no request in flight there`() {
            val tracker = DrainTracker().apply { markLeaving(target, tableSequence = 5) }
            tracker.report(VmId("a"), InFlightReport(5, emptyMap()))
            assertEquals(emptyList(), tracker.drained(entries), "b has not reported")
            tracker.report(VmId("b"), InFlightReport(4, emptyMap()))
            assertEquals(emptyList(), tracker.drained(entries), "b has not seen it leaving")
            tracker.report(VmId("b"), InFlightReport(5, mapOf(target to 1)))
            assertEquals(emptyList(), tracker.drained(entries), "b still has one request in flight")
            tracker.report(VmId("b"), InFlightReport(6, mapOf(target to 0)))
            assertEquals(listOf(target), tracker.drained(entries))
        }
    }
}
