package io.guavashore.edge.cold

import io.guavashore.api.Endpoint
import io.guavashore.api.ServiceId
import io.guavashore.api.TargetId
import io.guavashore.api.ZoneId
import io.guavashore.edge.declared.ServiceSpec
import io.guavashore.edge.declared.SoftwareVersion
import io.guavashore.edge.declared.TargetEntry
import io.guavashore.testing.VirtualClock
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

class ColdTargetsTest {
    private val clock = VirtualClock()
    private val target = TargetId("e1")
    private val service = ServiceId("engines")
    private var spec = ServiceSpec(service, maxConnections = 10, coldStartsPerS = PER_S, coldMs = COLD_MS)
    private var listed: TargetEntry? = null
    private val cold = ColdTargets(clock, { listed }, { spec })

    private fun list(
        coldForMs: Long?,
        bornAtMs: Long = 1,
    ) {
        val entry =
            TargetEntry(
                id = target,
                service = service,
                endpoint = Endpoint("127.0.0.1", 1),
                zone = ZoneId("z1"),
                slots = 8,
                isLeaving = false,
                software = SoftwareVersion("v1"),
                bornAtMs = bornAtMs,
                coldForMs = coldForMs,
            )
        listed = entry
        cold.onEntry(entry)
    }

    private fun assertColdFor(expectedMs: Long) {
        clock.advanceMs(expectedMs - 1)
        assertEquals(PER_S, cold.startsPerS(target))
        clock.advanceMs(1)
        assertNull(cold.startsPerS(target))
    }

    @Test
    fun `a target is cold until the time that its entry states, and again whenever a later entry says so`() {
        list(coldForMs = 2_000)
        assertColdFor(2_000)
        list(coldForMs = 500)
        assertColdFor(500)
    }

    @Test
    fun `a new process that states nothing is cold for the declared time, one that says that it is warm is not`() {
        list(coldForMs = null)
        assertNull(cold.startsPerS(target), "the first listing tells of no start")
        list(coldForMs = null, bornAtMs = 2)
        assertColdFor(COLD_MS)
        list(coldForMs = 0, bornAtMs = 3)
        assertNull(cold.startsPerS(target))
    }

    @Test
    fun `a target that failed counts as cold until its entry is renewed after its return`() {
        list(coldForMs = 0)
        cold.onFailure(target)
        clock.advanceMs(10_000)
        list(coldForMs = 0)
        assertEquals(PER_S, cold.startsPerS(target), "not reached yet")
        assertEquals(ColdNews(target, 1, COLD_MS, unreachedForMs = 10_000), cold.onResponse(target))
        assertNull(cold.onResponse(target), "told once")
        clock.advanceMs(100)
        list(coldForMs = 0)
        assertEquals(PER_S, cold.startsPerS(target), "the entry may be older than the return")
        clock.advanceMs(500)
        list(coldForMs = 0)
        assertNull(cold.startsPerS(target))
    }

    @Test
    fun `news of a peer counts unless the target responded to this VM meanwhile, or started anew`() {
        list(coldForMs = 0)
        cold.onResponse(target)
        clock.advanceMs(1_000)
        assertFalse(cold.onNews(ColdNews(target, 1, COLD_MS, unreachedForMs = 2_000)))
        assertFalse(cold.onNews(ColdNews(target, bornAtMs = 7, COLD_MS, unreachedForMs = 900)))
        assertTrue(cold.onNews(ColdNews(target, 1, COLD_MS, unreachedForMs = 900)))
        assertEquals(1, cold.count)
        assertColdFor(COLD_MS)
    }

    @Test
    fun `nothing is cold where the service declares no cold rate`() {
        spec = spec.copy(coldStartsPerS = null)
        list(coldForMs = 2_000)
        cold.onFailure(target)
        clock.advanceMs(1_000)
        assertNull(cold.onResponse(target))
        assertNull(cold.startsPerS(target))
        spec = spec.copy(coldStartsPerS = PER_S)
        assertNotNull(cold.startsPerS(target), "the entry came before the declaration")
    }

    private companion object {
        const val PER_S = 7.6
        const val COLD_MS = 3_000L
    }
}
