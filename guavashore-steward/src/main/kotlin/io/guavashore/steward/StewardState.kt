/*
 * What a steward knows from facts: declarations, listed VMs, and who holds which duty.
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

/** Knowledge of one steward. Thread-safe. */
internal class StewardState(
    private val self: VmId,
) {
    val adopted = AdoptedConfiguration()
    val facts = FactTable(::onFact)

    /** The platform's list of VMs as last heard. */
    @Volatile
    var vmRows: List<VmRow> = emptyList()

    fun declarations(): List<Declaration> = adopted.all().map { it.declaration }

    /** VMs whose entries may claim shares, by the platform's list. */
    fun listedEntries(): List<VmId> = vmRows.filter { it.state == VmState.LIVE }.map { it.vm }.sorted()

    /** Holder of [duty], a zone's name or the coordinator's. */
    fun leaderOf(duty: String): VmId? = facts[FactKeys.leader(duty)]?.content?.let(::VmId)

    /** Tells everybody that this steward holds [duty] under [lease]. */
    fun announce(
        duty: String,
        lease: HeldLease,
    ) {
        facts.offer(Fact(FactVersion(FactKeys.leader(duty), lease.fencingNumber.value, sequence = 0), self.value))
    }

    /** True if a later holder of [duty] than that of [lease] is known. */
    fun isSucceeded(
        duty: String,
        lease: HeldLease,
    ): Boolean = (facts[FactKeys.leader(duty)]?.version?.term ?: 0) > lease.fencingNumber.value

    private fun onFact(fact: Fact) {
        val key = fact.version.key
        when {
            key.startsWith(FactKeys.CONFIGURATION) -> adopt(fact)
            key == FactKeys.VMS -> vmRows = Json.decodeFromString(fact.content)
        }
    }

    /** A revision of a later version of guavashore may not be readable here; the one in force stays then. */
    private fun adopt(fact: Fact) {
        try {
            adopted.offer(Json.decodeFromString<TeamSnapshot>(fact.content))
        } catch (e: SerializationException) {
            val team = TeamId(fact.version.key.removePrefix(FactKeys.CONFIGURATION))
            adopted.reject(team, Revision(fact.version.term), "can't be read; this VM may need a newer version")
        }
    }
}
