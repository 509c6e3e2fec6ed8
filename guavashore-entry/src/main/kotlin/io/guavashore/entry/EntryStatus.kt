/*
 * Status of an entry, as `/status` of its operations endpoint shows it.
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

/** Status of one entry. */
@Serializable
internal data class EntryStatus(
    val vm: VmId,
    val zone: ZoneId,
    val revisions: Map<TeamId, Revision>,
    val openCalls: Int,
    val steps: List<StepStatus>,
    val targets: List<TargetUse>,
)

/** A target and how many of its slots this entry may use. */
@Serializable
internal data class TargetUse(
    val target: TargetId,
    val stage: TargetStage,
    val limit: Int,
)
