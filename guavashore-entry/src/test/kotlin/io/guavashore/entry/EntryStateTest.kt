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
    private val refusingOrganisation = OrganisationDeclaration(OrganisationId("o"), isolation = IsolationPolicy.REFUSE)
    private val servingOrganisation = OrganisationDeclaration(OrganisationId("o"), isolationGraceMs = 60_000)

    private fun refusal(service: String) =
        entry.admissionController.admit(TeamId("t"), ServiceId(service), "Bearer ${entry.key.text}").getError()

    @Nested
    inner class `With isolation policy REFUSE` {
        @Test
        fun `keyed calls are refused while the zone is isolated, and open routes are served`() {
            entry.receiveUpdate(refusingOrganisation)
            assertEquals(null, refusal("keyed"))
            entry.receiveUpdate(refusingOrganisation, isolated = true)
            assertEquals(RefusalKind.ISOLATED to true, refusal("keyed")?.let { it.kind to it.notRun })
            assertEquals(null, refusal("open"))
            entry.receiveUpdate(refusingOrganisation)
            assertEquals(null, refusal("keyed"))
        }
    }

    @Nested
    inner class `With isolation policy SERVE_UNTIL_DEADLINE` {
        @Test
        fun `keyed calls are served until the grace period has passed since the isolation began`() {
            entry.receiveUpdate(servingOrganisation, isolated = true)
            clock.advanceMs(59_999)
            entry.receiveUpdate(servingOrganisation, isolated = true)
            assertEquals(null, refusal("keyed"))
            clock.advanceMs(1)
            entry.receiveUpdate(servingOrganisation, isolated = true)
            assertEquals(RefusalKind.ISOLATED, refusal("keyed")?.kind)
        }
    }

    @Test
    fun `facts that can't be decoded leave the declaration in force`() {
        entry.receiveUpdate()
        val undecodableFacts =
            listOf(
                "config/t",
                "targets/a",
                "suspects/vm-1",
            ).map { Fact(FactVersion(it, term = 9, sequence = 0), "{\"x\":1}") }
        undecodableFacts.forEach(entry.state.facts::offer)
        assertEquals(null, refusal("keyed"))
    }

    @Test
    fun `an entry counts as isolated when no steward has responded for more than 15 s`() {
        entry.receiveUpdate(refusingOrganisation)
        clock.advanceMs(15_000)
        assertEquals(null, refusal("keyed"))
        clock.advanceMs(1)
        assertEquals(RefusalKind.ISOLATED, refusal("keyed")?.kind)
    }
}
