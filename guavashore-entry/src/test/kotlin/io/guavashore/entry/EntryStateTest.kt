package io.guavashore.entry

import com.github.michaelbull.result.getError
import io.guavashore.api.IsolationPolicy
import io.guavashore.api.OrganisationDeclaration
import io.guavashore.api.OrganisationId
import io.guavashore.api.RefusalKind
import io.guavashore.api.ServiceId
import io.guavashore.api.TeamId
import io.guavashore.membership.Fact
import io.guavashore.membership.FactVersion
import io.guavashore.testing.VirtualClock
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals

class EntryStateTest {
    private val clock = VirtualClock()
    private val entry = TestEntry(clock)
    private val refusing = OrganisationDeclaration(OrganisationId("o"), isolation = IsolationPolicy.REFUSE)
    private val serving = OrganisationDeclaration(OrganisationId("o"), isolationGraceMs = 60_000)

    private fun refusal(service: String) =
        entry.gate.admit(TeamId("t"), ServiceId(service), "Bearer ${entry.key.text}").getError()

    @Nested
    inner class `an organisation that refuses` {
        @Test
        fun `gets no keyed calls run while the zone is cut off, and open routes go on`() {
            entry.hear(refusing)
            assertEquals(null, refusal("keyed"))
            entry.hear(refusing, isolated = true)
            assertEquals(RefusalKind.ISOLATED to true, refusal("keyed")?.let { it.kind to it.notRun })
            assertEquals(null, refusal("open"))
            entry.hear(refusing)
            assertEquals(null, refusal("keyed"))
        }
    }

    @Nested
    inner class `an organisation that serves until a deadline` {
        @Test
        fun `is served until the grace has passed since the cut began`() {
            entry.hear(serving, isolated = true)
            clock.advanceMs(59_999)
            entry.hear(serving, isolated = true)
            assertEquals(null, refusal("keyed"))
            clock.advanceMs(1)
            entry.hear(serving, isolated = true)
            assertEquals(RefusalKind.ISOLATED, refusal("keyed")?.kind)
        }
    }

    @Test
    fun `facts that can't be read change nothing`() {
        entry.hear()
        val garbage =
            listOf(
                "config/t",
                "targets/a",
                "suspects/vm-1",
            ).map { Fact(FactVersion(it, term = 9, sequence = 0), "{\"x\":1}") }
        garbage.forEach(entry.state.facts::offer)
        assertEquals(null, refusal("keyed"))
    }

    @Test
    fun `an entry without any steward counts as cut off after 15 s`() {
        entry.hear(refusing)
        clock.advanceMs(15_000)
        assertEquals(null, refusal("keyed"))
        clock.advanceMs(1)
        assertEquals(RefusalKind.ISOLATED, refusal("keyed")?.kind)
    }
}
