/*
 * Messages between trainers and guavashore about one step.
 */
package io.guavashore.samples

import io.guavashore.api.GenerateRequest
import io.guavashore.api.GroupId
import io.guavashore.api.SampleId
import io.guavashore.api.StepId
import io.guavashore.api.TokenSpan
import io.guavashore.api.TrainerId
import io.guavashore.api.WeightVersion
import kotlinx.serialization.Serializable

/** Samples of one prompt that are handed over together. */
@Serializable
data class GroupRequest(
    val id: GroupId,
    val prompt: List<Int>,
    val samples: Int,
    val maxTokens: Int,
    val prefixTokens: Int = 0,
)

/**
 * Step of a trainer, put as a whole; putting the same step again changes nothing.
 *
 * @property ownerEpoch raised by the trainer each time it turns to another entry
 * @property deadlineMs Unix time by which the trainer wants the step whole
 * @property received groups that the trainer has already; they are not generated
 */
@Serializable
data class StepRequest(
    val step: StepId,
    val ownerEpoch: Long,
    val deadlineMs: Long,
    val statedVersion: WeightVersion,
    val groups: List<GroupRequest>,
    val received: Set<GroupId> = emptySet(),
)

/**
 * Asks for whole groups.
 *
 * @property statedVersion version that the trainer trains on now; staleness is judged against it
 * @property received all groups of the step that the trainer has
 */
@Serializable
data class PullRequest(
    val ownerEpoch: Long,
    val statedVersion: WeightVersion,
    val received: Set<GroupId>,
    val maxGroups: Int = 64,
    val waitMs: Long = 1_000,
)

/** A finished sample with the versions that produced it. */
@Serializable
data class Sample(
    val id: SampleId,
    val tokens: List<Int>,
    val spans: List<TokenSpan>,
    val score: Double,
)

/** A whole group. */
@Serializable
data class SampleGroup(
    val id: GroupId,
    val samples: List<Sample>,
)

/** Answer to a pull; [complete] is true once the trainer has every group. */
@Serializable
data class PullResponse(
    val groups: List<SampleGroup>,
    val complete: Boolean,
)

/** Progress of a step; [expectedEndMs] is the Unix time at which it will be whole at the present rate. */
@Serializable
data class StepStatus(
    val trainer: TrainerId,
    val step: StepId,
    val samples: Int,
    val finished: Int,
    val running: Int,
    val handedOver: Int,
    val droppedStale: Int,
    val droppedUnlabelled: Int,
    val duplicated: Int,
    val wastedTokens: Long,
    val stragglers: List<SampleId>,
    val expectedEndMs: Long? = null,
)

/** Work to be done: one sample to generate. [duplicate] is true if another attempt at it still runs. */
data class SampleWork(
    val sample: SampleId,
    val group: GroupId,
    val request: GenerateRequest,
    val duplicate: Boolean,
)
