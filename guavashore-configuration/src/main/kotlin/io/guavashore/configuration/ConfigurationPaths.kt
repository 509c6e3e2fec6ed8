/*
 * Layout of the teams' declarations in the platform's store: one mutable head per team, and immutable snapshots.
 */
package io.guavashore.configuration

import io.guavashore.api.Revision
import io.guavashore.api.TeamId
import io.guavashore.platform.ObjectPath
import kotlinx.serialization.Serializable

/** Prefix of the paths of all snapshots. */
const val TEAMS_PREFIX = "teams/"

/** Prefix of the paths of all heads. Nodes watch only the heads. */
const val HEADS_PREFIX = "heads/"

fun headPath(team: TeamId) = ObjectPath("$HEADS_PREFIX$team")

/** Path of a snapshot. The change id makes the path unique to one change, so that a snapshot is written only once. */
fun snapshotPath(
    team: TeamId,
    revision: Revision,
    changeId: String,
) = ObjectPath("$TEAMS_PREFIX$team/snapshots/$revision-$changeId")

/** Accepted change in a head's history. [acceptedAtMs] is Unix time by the operator's clock. */
@Serializable
data class AcceptedChange(
    val revision: Revision,
    val changeId: String,
    val author: String,
    val message: String,
    val acceptedAtMs: Long,
)

/** Head of a team. [history] holds its accepted changes, newest first, and is never empty. */
@Serializable
data class TeamHead(
    val team: TeamId,
    val history: List<AcceptedChange>,
) {
    val newest: AcceptedChange get() = history.first()
}
