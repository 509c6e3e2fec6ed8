/*
 * Where the declarations of teams stand in the platform's store.
 */
package io.guavashore.configuration

import io.guavashore.api.Revision
import io.guavashore.api.TeamId
import io.guavashore.platform.ObjectPath
import kotlinx.serialization.Serializable

/** Prefix of all teams' objects. */
const val TEAMS_PREFIX = "teams/"

/** Prefix of all heads; the only objects that nodes watch. */
const val HEADS_PREFIX = "heads/"

fun headPath(team: TeamId) = ObjectPath("$HEADS_PREFIX$team")

/** A snapshot is written once, under a name that no other change has. */
fun snapshotPath(
    team: TeamId,
    revision: Revision,
    changeId: String,
) = ObjectPath("$TEAMS_PREFIX$team/snapshots/$revision-$changeId")

/** One accepted change, as kept in the head's history. [acceptedAtMs] is the operator's wall clock. */
@Serializable
data class AcceptedChange(
    val revision: Revision,
    val changeId: String,
    val author: String,
    val message: String,
    val acceptedAtMs: Long,
)

/** Head of a team: its newest accepted change first in [history]. */
@Serializable
data class TeamHead(
    val team: TeamId,
    val history: List<AcceptedChange>,
) {
    val newest: AcceptedChange get() = history.first()
}
