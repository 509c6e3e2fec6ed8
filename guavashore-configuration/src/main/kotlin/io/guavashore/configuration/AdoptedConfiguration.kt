/*
 * Declarations in force on one node. The node adopts only higher revisions. A revision that the node can't use is
 * recorded as rejected, and the previous one stays in force.
 */
package io.guavashore.configuration

import io.guavashore.api.Revision
import io.guavashore.api.TeamId
import io.guavashore.api.TeamSnapshot
import kotlinx.serialization.Serializable

/** Returns the reason why this node can't use a snapshot, or null if the snapshot is usable. */
typealias UsabilityCheck = (TeamSnapshot) -> String?

/**
 * Revisions of one team on a node.
 *
 * @property inForce adopted revision, or null before the first
 * @property rejected higher revision that the node could not use, or null if there is none
 * @property reason explanation why [rejected] could not be used, or null if there is none
 */
@Serializable
data class RevisionStatus(
    val team: TeamId,
    val inForce: Revision?,
    val rejected: Revision? = null,
    val reason: String? = null,
)

/** Outcome of [AdoptedConfiguration.offer]: now in force, not newer than the revision in force, or unusable here. */
enum class AdoptionOutcome { ADOPTED, OLD, UNUSABLE }

/**
 * Snapshots of all teams that are in force on this node. Thread-safe.
 *
 * [onAdopted] is called after each adoption, outside the lock.
 */
class AdoptedConfiguration(
    private val findProblem: UsabilityCheck = { null },
    private val onAdopted: (TeamSnapshot) -> Unit = {},
) {
    private val inForce = HashMap<TeamId, TeamSnapshot>()
    private val rejected = HashMap<TeamId, RevisionStatus>()

    /** Adopts [snapshot] if its revision is higher than the one in force and the node can use it. */
    fun offer(snapshot: TeamSnapshot): AdoptionOutcome {
        val team = snapshot.declaration.team
        synchronized(inForce) {
            val current = inForce[team]
            if (current != null && snapshot.revision <= current.revision) return AdoptionOutcome.OLD
            val reason = findProblem(snapshot)
            if (reason != null) {
                rejected[team] = RevisionStatus(team, current?.revision, snapshot.revision, reason)
                return AdoptionOutcome.UNUSABLE
            }
            inForce[team] = snapshot
            rejected.remove(team)
        }
        onAdopted(snapshot)
        return AdoptionOutcome.ADOPTED
    }

    /** Records that this node can't read [revision]; the revision in force stays. */
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
