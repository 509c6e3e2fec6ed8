/*
 * Runtime of one team on this entry: the revision in force, and the keys, pools and limiters built from it.
 */
package io.guavashore.entry

import io.guavashore.api.OrganisationId
import io.guavashore.api.PoolId
import io.guavashore.api.Target
import io.guavashore.api.TargetStage
import io.guavashore.api.TeamSnapshot
import io.guavashore.keys.KeyRing

/** Runtime of a team. Pools and limiters that are still declared are kept from the [previous] revision. */
internal class TeamRuntime(
    val snapshot: TeamSnapshot,
    environment: PoolEnvironment,
    previous: TeamRuntime?,
) {
    val declaration = snapshot.declaration
    val keys = KeyRing(declaration)

    val pools: Map<PoolId, PoolRuntime> =
        declaration.pools.associate { pool ->
            pool.id to (previous?.pools?.get(pool.id) ?: PoolRuntime(pool, environment, ::weightOf))
        }

    val organisations: Map<OrganisationId, OrganisationRuntime> =
        declaration.organisations.associate { organisation ->
            val id = organisation.id
            id to (previous?.organisations?.get(id) ?: OrganisationRuntime(declaration.team, id, environment.clock))
        }

    /** Targets of the team. Those that the declaration drains are leaving, whatever their stage in the target table. */
    fun ownTargets(all: List<Target>): List<Target> =
        all.filter { it.team == declaration.team }.map {
            if (it.id in declaration.drainedTargets) it.copy(stage = TargetStage.LEAVING) else it
        }

    private fun weightOf(id: OrganisationId) = declaration.organisation(id)?.weight ?: 1
}
