package io.guavashore.routing

import io.guavashore.api.Endpoint
import io.guavashore.api.PoolId
import io.guavashore.api.Target
import io.guavashore.api.TargetId
import io.guavashore.api.TargetKind
import io.guavashore.api.TargetStage
import io.guavashore.api.TeamId
import io.guavashore.api.ZoneId
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

class TargetPickerTest {
    private val home = ZoneId("a")

    private fun candidate(
        id: String,
        zone: String = "a",
        outstanding: Int = 0,
        limit: Int = 8,
        stage: TargetStage = TargetStage.SERVING,
        ejected: Boolean = false,
        heldExclusively: Boolean = false,
        reportedLoad: Double = 0.0,
    ) = Candidate(
        target =
            Target(
                id = TargetId(id),
                team = TeamId("t"),
                pool = PoolId("p"),
                kind = TargetKind.MODEL,
                zone = ZoneId(zone),
                endpoint = Endpoint("127.0.0.1", 1),
                slots = limit,
                stage = stage,
            ),
        outstanding = outstanding,
        limit = limit,
        ejected = ejected,
        heldExclusively = heldExclusively,
        reportedLoad = reportedLoad,
    )

    private fun pick(
        vararg candidates: Candidate,
        request: PickRequest = PickRequest(homeZone = home),
    ) = pickTarget(candidates.toList(), request)?.target?.id?.value

    @Nested
    inner class `load` {
        @Test
        fun `own outstanding requests outweigh the reported load`() {
            assertEquals(
                "b",
                pick(candidate("a", outstanding = 4), candidate("b", outstanding = 1, reportedLoad = 0.9)),
            )
        }

        @Test
        fun `the reported load decides between targets with equal outstanding requests`() {
            assertEquals("b", pick(candidate("a", reportedLoad = 0.8), candidate("b", reportedLoad = 0.1)))
        }
    }

    @Nested
    inner class `a slow target` {
        @Test
        fun `a slow target gets fewer requests in proportion to its speed`() {
            val slow = candidate("a", outstanding = 2).copy(speed = 0.5)
            val picked = { outstanding: Int ->
                pickTarget(listOf(slow, candidate("b", outstanding = outstanding)), PickRequest(home))
            }
            assertEquals("b", picked(4)?.target?.id?.value)
            assertEquals("a", picked(6)?.target?.id?.value)
        }

        @Test
        fun `the speed of a target is measured on finished work, relative to the fastest`() {
            val speeds = TargetSpeeds()
            repeat(20) {
                speeds.record(TargetId("fast"), work = 100, elapsedMs = 1_000)
                speeds.record(TargetId("slow"), work = 25, elapsedMs = 1_000)
            }
            assertEquals(0.25, speeds.relative(TargetId("slow")), absoluteTolerance = 0.01)
            assertEquals(1.0, speeds.relative(TargetId("unknown")))
        }
    }

    @Nested
    inner class `zones` {
        @Test
        fun `targets of the home zone are preferred until they are full`() {
            assertEquals("near", pick(candidate("near", outstanding = 7), candidate("far", zone = "b")))
            assertEquals("far", pick(candidate("near", outstanding = 8), candidate("far", zone = "b")))
        }
    }

    @Nested
    inner class `unusable targets` {
        @Test
        fun `targets that are unavailable, full, excluded or reserved are never picked`() {
            val unusable =
                listOf(
                    candidate("x", stage = TargetStage.LEAVING),
                    candidate("x", stage = TargetStage.STARTING),
                    candidate("x", ejected = true),
                    candidate("x", heldExclusively = true),
                    candidate("x", outstanding = 8),
                    candidate("x", limit = 0),
                )
            unusable.forEach { assertNull(pick(it), "$it") }
            assertNull(pick(candidate("x"), request = PickRequest(home, exclude = setOf(TargetId("x")))))
            assertNull(pick(candidate("x", outstanding = 1), request = PickRequest(home, exclusive = true)))
            assertNull(pick(candidate("x", outstanding = 7), request = PickRequest(home, reservedSlots = 1)))
        }
    }

    @Nested
    inner class `a shared prefix` {
        private val names = listOf("a", "b", "c", "d")

        @Test
        fun `requests with the same prefix go to the same target while loads are similar`() {
            val request = PickRequest(home, prefixKey = "group-7")
            val first = pick(*names.map { candidate(it) }.toTypedArray(), request = request)
            val second =
                pick(
                    *names
                        .map {
                            candidate(
                                it,
                                outstanding =
                                    if (it ==
                                        first
                                    ) {
                                        1
                                    } else {
                                        0
                                    },
                            )
                        }.toTypedArray(),
                    request = request,
                )
            assertEquals(first, second)
        }

        @Test
        fun `a request with a prefix goes to another target if its preferred one is overloaded`() {
            val request = PickRequest(home, prefixKey = "group-7")
            val first = pick(*names.map { candidate(it) }.toTypedArray(), request = request)
            val loaded = names.map { candidate(it, outstanding = if (it == first) 5 else 0) }
            assertEquals(names.first { it != first }, pick(*loaded.toTypedArray(), request = request))
        }
    }
}
