/*
 * State of an entry: the facts received from its steward, the runtime objects built from them, and the entry's shares
 * of limits and slots.
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

/** State of one entry, updated from the steward's responses. Thread-safe. */
internal class EntryState(
    self: VmId,
    private val environment: PoolEnvironment,
) {
    private val clock = environment.clock
    private val heldShares = HeldShares(self)
    private val targetTables = HashMap<ZoneId, TargetTable>()
    private var entries: List<VmId> = emptyList()
    private var isolatedSinceMs: Long? = null
    private val json = Json { ignoreUnknownKeys = true }

    /** Calls in progress by key; they are cancelled when their key is withdrawn. */
    val sessions = KeySessions()

    val facts = FactTable(::applyOrSkip)

    @Volatile
    private var teams: Map<TeamId, TeamRuntime> = emptyMap()

    /** Monotonic time of the last response of a steward; null before the first. */
    @Volatile
    var lastStewardResponseAtMs: Long? = null
        private set

    fun team(id: TeamId): TeamRuntime? = teams[id]

    fun teams(): Collection<TeamRuntime> = teams.values

    /** True once a declaration is in force on this entry. */
    fun isConfigured() = teams.isNotEmpty()

    /** Applies the steward's response to a report sent at [sentAtMs], from which the validity of the shares counts. */
    fun accept(
        update: ControlMessage.EntryUpdate,
        sentAtMs: Long,
    ) {
        update.facts.forEach(facts::offer)
        synchronized(this) {
            heldShares.accept(update.shares, sentAtMs)
            if (update.entries.isNotEmpty()) entries = update.entries
            isolatedSinceMs = if (update.isolated) isolatedSinceMs ?: clock() else null
        }
        lastStewardResponseAtMs = clock()
        refresh()
    }

    /** Applies shares that were received or have expired. Call it a few times a second, since shares expire by time. */
    fun refresh() {
        val targets = allTargets()
        teams.values.forEach { team ->
            val teamTargets = team.ownTargets(targets)
            val entitlement = entitlementFor(team, teamTargets)
            team.organisations.values.forEach { it.setShares(entitlement) }
            team.pools.forEach { (id, pool) -> pool.update(teamTargets.filter { it.pool == id }, entitlement) }
        }
    }

    /** Demands to report to the steward. Starts a new measuring interval of the organisations' arrival rates. */
    fun takeDemands(): Map<ResourceId, Demand> {
        val targets = allTargets()
        return teams.values
            .flatMap { team ->
                val entitlement = entitlementFor(team, team.ownTargets(targets))
                team.organisations.values.map { it.takeDemands(entitlement) } +
                    team.pools.values.map { it.takeDemands(entitlement) }
            }.fold(emptyMap()) { all, demands -> all + demands }
    }

    /** Number of this entry's requests in flight on each target that is leaving. */
    fun inFlightOnLeavingTargets(): Map<TargetId, Int> =
        teams.values.flatMap { it.pools.values }.fold(emptyMap()) { all, pool -> all + pool.inFlightOnLeavingTargets() }

    /** True if keyed requests of the organisation are refused; an isolated zone can't learn of withdrawn keys. */
    fun refusesWhileIsolated(
        team: TeamRuntime,
        organisation: OrganisationId,
    ): Boolean {
        val since = isolationStartMs() ?: return false
        val declared = team.declaration.organisation(organisation) ?: return true
        return when (declared.isolation) {
            IsolationPolicy.REFUSE -> true
            IsolationPolicy.SERVE_UNTIL_DEADLINE -> clock() >= since + declared.isolationGraceMs
        }
    }

    /**
     * Time since which neither the platform nor other zones were reachable, or, if no steward responds, the time of the
     * last response. Null if the zone is not isolated or no steward has responded yet.
     */
    private fun isolationStartMs(): Long? {
        val lastResponseAtMs = lastStewardResponseAtMs ?: return null
        synchronized(this) { isolatedSinceMs?.let { return it } }
        return lastResponseAtMs.takeIf { clock() - it > STEWARD_TIMEOUT_MS }
    }

    /** Skips a fact that can't be decoded, such as one written by a later version of guavashore. */
    private fun applyOrSkip(fact: Fact) {
        try {
            decodeAndApply(fact)
        } catch (e: SerializationException) {
            environment.metrics.count("facts.unreadable")
            log.warn { "fact skipped, can't be decoded, this VM may need a newer version: key=${fact.version.key}" }
        }
    }

    private fun decodeAndApply(fact: Fact) {
        val key = fact.version.key
        when {
            key.startsWith(FactKeys.CONFIGURATION) -> applySnapshot(json.decodeFromString(fact.content))
            key.startsWith(FactKeys.TARGETS) -> {
                val table = json.decodeFromString<TargetTable>(fact.content)
                synchronized(targetTables) { targetTables[table.zone] = table }
                refresh()
            }
            key.startsWith(
                FactKeys.SUSPECTS,
            ) -> environment.guard.merge(json.decodeFromString<List<SuspectRecord>>(fact.content))
        }
    }

    private fun applySnapshot(snapshot: TeamSnapshot) {
        val id = snapshot.declaration.team
        val team =
            synchronized(this) {
                val runtime = TeamRuntime(snapshot, environment, previous = teams[id])
                teams = teams + (id to runtime)
                runtime
            }
        val endedSessions = sessions.endWithdrawn { key -> teams.values.any { it.keys.isInForce(key) } }
        environment.metrics.count("revisions.adopted")
        log.info { "declaration applied: team=$id revision=${team.snapshot.revision} ended_sessions=$endedSessions" }
        refresh()
    }

    private fun allTargets(): List<Target> = synchronized(targetTables) { targetTables.values.flatMap { it.targets } }

    private fun entitlementFor(
        team: TeamRuntime,
        targets: List<Target>,
    ): Entitlement {
        val totals =
            targets.associate { SharedResources.slots(it.id) to it.slots.toLong() } +
                team.declaration.organisations.flatMap { SharedResources.limits(team.declaration.team, it).toList() }
        return { resource ->
            synchronized(this) { heldShares.entitlement(resource, totals[resource] ?: 0, entries, clock()) }
        }
    }

    private companion object {
        const val STEWARD_TIMEOUT_MS = 15_000L
    }
}
