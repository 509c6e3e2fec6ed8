package io.guavashore.steward

import io.guavashore.api.Declaration
import io.guavashore.api.Revision
import io.guavashore.api.TeamId
import io.guavashore.api.TeamSnapshot
import io.guavashore.api.VmId
import io.guavashore.configuration.RevisionStatus
import io.guavashore.membership.Fact
import io.guavashore.membership.FactVersion
import io.guavashore.wire.FactKeys
import kotlinx.serialization.json.Json
import kotlin.test.Test
import kotlin.test.assertEquals

class StewardStateTest {
    private val team = TeamId("t")
    private val state = StewardState(VmId("vm-1"))

    private fun offer(
        revision: Long,
        content: String = Json.encodeToString(TeamSnapshot(Revision(revision), "c", Declaration(team))),
    ) = state.facts.offer(Fact(FactVersion(FactKeys.configuration(team), revision, sequence = 0), content))

    @Test
    fun `an unreadable revision is reported as rejected with the reason, and the last readable one stays in force`() {
        offer(revision = 1)
        offer(revision = 2, content = """{"revision":2,"fromTheFuture":true}""")
        val reason = "can't be read; this VM may need a newer version"
        assertEquals(listOf(RevisionStatus(team, Revision(1), Revision(2), reason)), state.adopted.status())
        assertEquals(team, state.declarations().single().team)
        offer(revision = 3)
        assertEquals(listOf(RevisionStatus(team, Revision(3))), state.adopted.status())
    }
}
