/*
 * Messages between trainers and guavashore for one step.
 */
package io.guavashore.samples

import io.guavashore.api.GenerateRequest
import io.guavashore.api.GroupId
import io.guavashore.api.SampleId
import io.guavashore.api.StepId
import io.guavashore.api.TokenSpan
import io.guavashore.api.TrainerId
import io.guavashore.api.WeightVersion
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Request for [samples] samples of one prompt, which are delivered together. */
@Serializable
data class GroupRequest(
    val id: GroupId,
    val prompt: List<Int>,
    val samples: Int,
    val maxTokens: Int,
    val prefixTokens: Int = 0,
)

/**
 * A trainer's step, submitted in one request. Submitting the same step again does not restart it.
 *
 * @property ownerEpoch incremented by the trainer each time it switches to another entry node
 * @property deadlineMs Unix time by which the trainer wants the step to be complete
 * @property statedVersion weight version that the trainer is training on
 * @property received groups that the trainer has already received, which are not generated
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
 * Request for complete groups.
 *
 * @property statedVersion weight version that the trainer is training on now; staleness is relative to it
 * @property received all groups of the step that the trainer has received
 * @property waitMs time to wait for a complete group if there is none
 */
@Serializable
data class PullRequest(
    val ownerEpoch: Long,
    val statedVersion: WeightVersion,
    val received: Set<GroupId>,
    val maxGroups: Int = 64,
    val waitMs: Long = 1_000,
)

/** A finished sample. [spans] state the weight version that produced each token. */
@Serializable
data class Sample(
    val id: SampleId,
    val tokens: List<Int>,
    val spans: List<TokenSpan>,
    val score: Double,
)

/** A complete group. */
@Serializable
data class SampleGroup(
    val id: GroupId,
    val samples: List<Sample>,
)

/** Response to a pull; [complete] is true once the trainer has received every group. */
@Serializable
data class PullResponse(
    val groups: List<SampleGroup>,
    val complete: Boolean,
)

/**
 * Progress of a step. All counts but [wastedTokens] are numbers of samples.
 *
 * @property received samples whose groups the trainer has received
 * @property droppedStale samples dropped because their weight version was too old
 * @property droppedUnlabelled samples dropped because their spans did not cover every token
 * @property wastedTokens tokens generated in attempts whose result was not used
 * @property expectedEndMs Unix time at which the step will be complete at the present rate; null if none has finished
 */
@Serializable
data class StepStatus(
    val trainer: TrainerId,
    val step: StepId,
    val samples: Int,
    val finished: Int,
    val running: Int,
    @SerialName("handedOver") val received: Int,
    val droppedStale: Int,
    val droppedUnlabelled: Int,
    val duplicated: Int,
    val wastedTokens: Long,
    val stragglers: List<SampleId>,
    val expectedEndMs: Long? = null,
)

/** A sample to generate. [duplicate] is true if another attempt to generate it is still running. */
data class SampleWork(
    val sample: SampleId,
    val group: GroupId,
    val request: GenerateRequest,
    val duplicate: Boolean,
)
