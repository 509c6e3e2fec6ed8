/*
 * Declarations in force on one node. A node adopts only higher revisions, and keeps the last one that it can use.
 */
package io.guavashore.configuration

import io.guavashore.api.Revision
import io.guavashore.api.TeamId
import io.guavashore.api.TeamSnapshot
import kotlinx.serialization.Serializable

/** Checks whether this node can use a snapshot; returns the reason if it can't. */
typealias UsableCheck = (TeamSnapshot) -> String?

/** What a node says about one team. [rejected] is a higher revision that it could not use, and why. */
@Serializable
data class RevisionStatus(
    val team: TeamId,
    val inForce: Revision?,
    val rejected: Revision? = null,
    val reason: String? = null,
)

/** Outcome of an offer. */
enum class Adoption { ADOPTED, OLD, UNUSABLE }

/** Declarations of all teams. Thread-safe. */
class AdoptedConfiguration(
    private val usable: UsableCheck = { null },
    private val onAdopted: (TeamSnapshot) -> Unit = {},
) {
    private val inForce = HashMap<TeamId, TeamSnapshot>()
    private val rejected = HashMap<TeamId, RevisionStatus>()

    fun offer(snapshot: TeamSnapshot): Adoption {
        val team = snapshot.declaration.team
        synchronized(inForce) {
            val current = inForce[team]
            if (current != null && snapshot.revision <= current.revision) return Adoption.OLD
            val reason = usable(snapshot)
            if (reason != null) {
                rejected[team] = RevisionStatus(team, current?.revision, snapshot.revision, reason)
                return Adoption.UNUSABLE
            }
            inForce[team] = snapshot
            rejected.remove(team)
        }
        onAdopted(snapshot)
        return Adoption.ADOPTED
    }

    /** Records that [revision] can't even be read here; the one in force stays. */
    fun reject(
        team: TeamId,
        revision: Revision,
        reason: String,
    ) {
        synchronized(inForce) {
            val current = inForce[team]?.revision
            if (current != null && revision <= current) return
            rejected[team] = RevisionStatus(team, current, revision, reason)
        }
    }

    operator fun get(team: TeamId): TeamSnapshot? = synchronized(inForce) { inForce[team] }

    fun all(): List<TeamSnapshot> = synchronized(inForce) { inForce.values.toList() }

    fun status(): List<RevisionStatus> =
        synchronized(inForce) {
            (inForce.keys + rejected.keys).map { team ->
                rejected[team]?.copy(inForce = inForce[team]?.revision) ?: RevisionStatus(team, inForce[team]?.revision)
            }
        }
}
