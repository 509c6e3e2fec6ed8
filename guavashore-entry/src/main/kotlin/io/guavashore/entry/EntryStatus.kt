/*
 * Status of an entry, as `/status` of its operations server returns it.
 */
package io.guavashore.entry

import io.guavashore.api.Revision
import io.guavashore.api.TargetId
import io.guavashore.api.TargetStage
import io.guavashore.api.TeamId
import io.guavashore.api.VmId
import io.guavashore.api.ZoneId
import io.guavashore.samples.StepStatus
import kotlinx.serialization.Serializable

/** Status of one entry. [revisions] holds the declaration's revision in force for each team. */
@Serializable
internal data class EntryStatus(
    val vm: VmId,
    val zone: ZoneId,
    val revisions: Map<TeamId, Revision>,
    val openCalls: Int,
    val steps: List<StepStatus>,
    val targets: List<TargetLimit>,
)

/** Number of slots of a target, [limit], that this entry may use now. */
@Serializable
internal data class TargetLimit(
    val target: TargetId,
    val stage: TargetStage,
    val limit: Int,
)
