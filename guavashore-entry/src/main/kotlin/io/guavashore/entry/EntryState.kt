/*
 * All that an entry knows: facts from its steward, what was built from them, and its shares.
 */
package io.guavashore.entry

import io.github.oshai.kotlinlogging.KotlinLogging
import io.guavashore.admission.Demand
import io.guavashore.admission.HeldShares
import io.guavashore.admission.ResourceId
import io.guavashore.api.IsolationPolicy
import io.guavashore.api.OrganisationId
import io.guavashore.api.Target
import io.guavashore.api.TargetId
import io.guavashore.api.TargetTable
import io.guavashore.api.TeamId
import io.guavashore.api.TeamSnapshot
import io.guavashore.api.VmId
import io.guavashore.api.ZoneId
import io.guavashore.keys.KeySessions
import io.guavashore.membership.Fact
import io.guavashore.membership.FactTable
import io.guavashore.routing.SuspectRecord
import io.guavashore.wire.ControlMessage
import io.guavashore.wire.FactKeys
import io.guavashore.wire.SharedResources
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

private val log = KotlinLogging.logger {}

/** State of one entry. Thread-safe. */
internal class EntryState(
    self: VmId,
    private val environment: PoolEnvironment,
) {
    private val clock = environment.clock
    private val held = HeldShares(self)
    private val tables = HashMap<ZoneId, TargetTable>()
    private var entries: List<VmId> = emptyList()
    private var isolatedSinceMs: Long? = null
    private val json = Json { ignoreUnknownKeys = true }

    /** Work in progress by key. */
    val sessions = KeySessions()

    val facts = FactTable(::apply)

    @Volatile
    private var teams: Map<TeamId, TeamRuntime> = emptyMap()

    /** Monotonic time of the steward's last answer, or null before the first. */
    @Volatile
    var heardStewardAtMs: Long? = null
        private set

    fun team(id: TeamId): TeamRuntime? = teams[id]

    fun teams(): Collection<TeamRuntime> = teams.values

    /** True once a declaration is in force here. */
    fun isConfigured() = teams.isNotEmpty()

    /** Takes in the steward's answer to a report sent at [sentAtMs]. */
    fun accept(
        update: ControlMessage.EntryUpdate,
        sentAtMs: Long,
    ) {
        update.facts.forEach(facts::offer)
        synchronized(this) {
            held.accept(update.shares, sentAtMs)
            if (update.entries.isNotEmpty()) entries = update.entries
            isolatedSinceMs = if (update.isolated) isolatedSinceMs ?: clock() else null
        }
        heardStewardAtMs = clock()
        refresh()
    }

    /** Applies shares that have come or lapsed. Call it a few times a second. */
    fun refresh() {
        val targets = allTargets()
        teams.values.forEach { team ->
            val own = team.ownTargets(targets)
            val entitlement = entitlementFor(team, own)
            team.organisations.values.forEach { it.setShares(entitlement) }
            team.pools.forEach { (id, pool) -> pool.update(own.filter { it.pool == id }, entitlement) }
        }
    }

    /** Demands to report. */
    fun takeDemands(): Map<ResourceId, Demand> {
        val targets = allTargets()
        return teams.values
            .flatMap { team ->
                val entitlement = entitlementFor(team, team.ownTargets(targets))
                team.organisations.values.map { it.takeDemands(entitlement) } +
                    team.pools.values.map { it.takeDemands(entitlement) }
            }.fold(emptyMap()) { all, demands -> all + demands }
    }

    /** Requests of this entry that run on targets which are to leave. */
    fun inFlightOnLeaving(): Map<TargetId, Int> =
        teams.values.flatMap { it.pools.values }.fold(emptyMap()) { all, pool -> all + pool.inFlightOnLeaving() }

    /** True if keyed requests of the organisation are to be refused because withdrawn keys can't be known here. */
    fun refusesIsolated(
        team: TeamRuntime,
        organisation: OrganisationId,
    ): Boolean {
        val since = isolatedSince() ?: return false
        val declared = team.declaration.organisation(organisation) ?: return true
        return when (declared.isolation) {
            IsolationPolicy.REFUSE -> true
            IsolationPolicy.SERVE_UNTIL_DEADLINE -> clock() >= since + declared.isolationGraceMs
        }
    }

    /** Since when neither platform nor other zones were heard of; without a steward, since its last answer. */
    private fun isolatedSince(): Long? {
        val heard = heardStewardAtMs ?: return null
        synchronized(this) { isolatedSinceMs?.let { return it } }
        return heard.takeIf { clock() - it > STEWARD_LOST_MS }
    }

    /** A fact that can't be read, of a later version of guavashore say, changes nothing here. */
    private fun apply(fact: Fact) {
        try {
            applyReadable(fact)
        } catch (e: SerializationException) {
            environment.metrics.count("facts.unreadable")
            log.warn { "${fact.version.key} can't be read and is passed over; this VM may need a newer version" }
        }
    }

    private fun applyReadable(fact: Fact) {
        val key = fact.version.key
        when {
            key.startsWith(FactKeys.CONFIGURATION) -> adopt(json.decodeFromString(fact.content))
            key.startsWith(FactKeys.TARGETS) -> {
                val table = json.decodeFromString<TargetTable>(fact.content)
                synchronized(tables) { tables[table.zone] = table }
                refresh()
            }
            key.startsWith(
                FactKeys.SUSPECTS,
            ) -> environment.guard.merge(json.decodeFromString<List<SuspectRecord>>(fact.content))
        }
    }

    private fun adopt(snapshot: TeamSnapshot) {
        val id = snapshot.declaration.team
        val team =
            synchronized(this) {
                val built = TeamRuntime(snapshot, environment, previous = teams[id])
                teams = teams + (id to built)
                built
            }
        val ended = sessions.endWithdrawn { key -> teams.values.any { it.keys.isInForce(key) } }
        environment.metrics.count("revisions.adopted")
        log.info { "revision ${team.snapshot.revision} of $id in force, $ended sessions of withdrawn keys ended" }
        refresh()
    }

    private fun allTargets(): List<Target> = synchronized(tables) { tables.values.flatMap { it.targets } }

    private fun entitlementFor(
        team: TeamRuntime,
        targets: List<Target>,
    ): Entitlement {
        val totals =
            targets.associate { SharedResources.slots(it.id) to it.slots.toLong() } +
                team.declaration.organisations.flatMap { SharedResources.limits(team.declaration.team, it).toList() }
        return { resource ->
            synchronized(this) { held.entitlement(resource, totals[resource] ?: 0, entries, clock()) }
        }
    }

    private companion object {
        const val STEWARD_LOST_MS = 15_000L
    }
}
