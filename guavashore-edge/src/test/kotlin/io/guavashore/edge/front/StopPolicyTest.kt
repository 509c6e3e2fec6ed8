package io.guavashore.edge.front

import io.guavashore.edge.declared.Route
import io.guavashore.edge.declared.RouteId
import io.guavashore.edge.declared.RouteKind
import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class StopPolicyTest {
    private fun route(
        kind: RouteKind,
        objectiveMs: Long = 500,
    ) = Route(
        id = RouteId("r"),
        host = "h",
        pathPrefix = "/",
        kind = kind,
        timeoutMs = 12_000,
        objectiveMs = objectiveMs,
        priority = 0,
        backends = emptyList(),
        maxAttempts = 3,
    )

    @Test
    fun `a request is taken as long as it can be answered before the VM ends`() {
        listOf(RouteKind.SAFE, RouteKind.UNSAFE).forEach { kind ->
            assertTrue(isTakenBeforeStop(route(kind), timeLeftMs = 12_000, stopInMs = 2_000))
            assertFalse(isTakenBeforeStop(route(kind), timeLeftMs = 12_000, stopInMs = 1_999))
            assertTrue(isTakenBeforeStop(route(kind), timeLeftMs = 300, stopInMs = 300), "ends before the VM does")
        }
    }

    @Test
    fun `a stream is taken while most streams would end before the VM does`() {
        assertTrue(isTakenBeforeStop(route(RouteKind.STREAMING), timeLeftMs = 12_000, stopInMs = 4_500))
        assertFalse(isTakenBeforeStop(route(RouteKind.STREAMING), timeLeftMs = 12_000, stopInMs = 4_000))
        assertTrue(isTakenBeforeStop(route(RouteKind.STREAMING), timeLeftMs = 1_500, stopInMs = 1_500))
    }
}
