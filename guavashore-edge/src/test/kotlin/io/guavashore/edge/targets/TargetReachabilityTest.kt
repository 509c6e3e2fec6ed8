package io.guavashore.edge.targets

import io.guavashore.api.Endpoint
import io.guavashore.api.ServiceId
import io.guavashore.api.TargetId
import io.guavashore.api.ZoneId
import io.guavashore.edge.declared.SoftwareVersion
import io.guavashore.edge.declared.TargetEntry
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class TargetReachabilityTest {
    private val targets =
        List(12) { index ->
            TargetEntry(
                id = TargetId("w$index"),
                service = ServiceId("engines"),
                endpoint = Endpoint("127.0.0.1", 1),
                zone = ZoneId("z${index % 3}"),
                slots = 4,
                isLeaving = false,
                software = SoftwareVersion("v1"),
            )
        }
    private var up = targets.mapTo(HashSet()) { it.id }
    private val probed = ArrayList<TargetEntry>()

    /** Probes of targets that are down get no response for 150 ms. */
    private fun TestScope.reachability(usable: List<TargetEntry> = targets) =
        TargetReachability(
            scope = backgroundScope,
            usable = { usable },
            probe = {
                probed += it
                if (it.id !in up) delay(150)
                it.id in up
            },
            clock = { currentTime },
        )

    @Test
    fun `the crash of all targets of one availability zone is not a cut`() =
        runTest {
            up = targets.filter { it.zone != ZoneId("z0") }.mapTo(HashSet()) { it.id }
            val reachability = reachability()
            repeat(20) {
                delay(300)
                val startedMs = currentTime
                reachability.verify()
                assertFalse(reachability.isCutOff)
                assertTrue(currentTime - startedMs < 150, "waited for targets that are down")
            }
        }

    @Test
    fun `a VM that reaches no target is cut off until one can be reached`() =
        runTest {
            up.clear()
            val reachability = reachability()
            reachability.verify()
            assertTrue(reachability.isCutOff)
            assertEquals(3, probed.take(3).distinctBy { it.zone }.size, "zones probed first")
            delay(5_000)
            assertTrue(reachability.cutOffForMs() >= 5_000)
            up += targets.map { it.id }
            delay(1_000)
            assertFalse(reachability.isCutOff)
        }

    @Test
    fun `a single target that does not respond is not a cut`() =
        runTest {
            up.clear()
            val reachability = reachability(usable = targets.take(1))
            reachability.verify()
            assertFalse(reachability.isCutOff)
        }

    @Test
    fun `many failures at once cause one probe`() =
        runTest {
            val reachability = reachability()
            repeat(50) { reachability.verify() }
            assertTrue(probed.size <= 3, "probes: ${probed.size}")
        }
}
