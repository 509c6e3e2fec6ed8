/*
 * State that a steward derives from facts: declarations, listed VMs, and the holder of each leader role.
 */
package io.guavashore.steward

import io.guavashore.api.Declaration
import io.guavashore.api.Revision
import io.guavashore.api.TeamId
import io.guavashore.api.TeamSnapshot
import io.guavashore.api.VmId
import io.guavashore.configuration.AdoptedConfiguration
import io.guavashore.leases.HeldLease
import io.guavashore.membership.Fact
import io.guavashore.membership.FactTable
import io.guavashore.membership.FactVersion
import io.guavashore.platform.VmRow
import io.guavashore.platform.VmState
import io.guavashore.wire.FactKeys
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** State of one steward. Thread-safe. */
internal class StewardState(
    private val self: VmId,
) {
    val adopted = AdoptedConfiguration()
    val facts = FactTable(::onFact)

    /** The platform's list of VMs as last received; empty before the first. */
    @Volatile
    var vmRows: List<VmRow> = emptyList()

    fun declarations(): List<Declaration> = adopted.all().map { it.declaration }

    /** VMs whose entries may get shares: those that the platform lists as live, sorted. */
    fun listedEntries(): List<VmId> = vmRows.filter { it.state == VmState.LIVE }.map { it.vm }.sorted()

    /** Steward that holds [role] (a zone's name, or [FactKeys.COORDINATOR]); null if none is known. */
    fun leaderOf(role: String): VmId? = facts[FactKeys.leader(role)]?.content?.let(::VmId)

    /** Publishes the fact that this steward holds [role] under [lease]. */
    fun announceLeader(
        role: String,
        lease: HeldLease,
    ) {
        facts.offer(Fact(FactVersion(FactKeys.leader(role), lease.fencingNumber.value, sequence = 0), self.value))
    }

    /** True if a holder of [role] with a higher fencing number than that of [lease] is known. */
    fun hasSuccessor(
        role: String,
        lease: HeldLease,
    ): Boolean = (facts[FactKeys.leader(role)]?.version?.term ?: 0) > lease.fencingNumber.value

    private fun onFact(fact: Fact) {
        val key = fact.version.key
        when {
            key.startsWith(FactKeys.CONFIGURATION) -> adoptRevision(fact)
            key == FactKeys.VMS -> vmRows = Json.decodeFromString(fact.content)
        }
    }

    /**
     * Puts the received revision in force. A revision written by a newer version of guavashore may be unreadable here;
     * then it is reported as rejected and the previous one stays in force.
     */
    private fun adoptRevision(fact: Fact) {
        try {
            adopted.offer(Json.decodeFromString<TeamSnapshot>(fact.content))
        } catch (e: SerializationException) {
            val team = TeamId(fact.version.key.removePrefix(FactKeys.CONFIGURATION))
            adopted.reject(team, Revision(fact.version.term), "can't be read; this VM may need a newer version")
        }
    }
}
