/*
 * Messages between guavashore's own processes. Each kind of request has exactly one kind of reply.
 */
package io.guavashore.wire

import io.guavashore.admission.Demand
import io.guavashore.admission.ResourceId
import io.guavashore.api.AttemptId
import io.guavashore.api.Incarnation
import io.guavashore.api.TargetId
import io.guavashore.api.UsageCounter
import io.guavashore.api.VmId
import io.guavashore.claims.ClaimKey
import io.guavashore.claims.ClaimOutcome
import io.guavashore.claims.RecordedResponse
import io.guavashore.membership.Fact
import io.guavashore.membership.FactVersion
import io.guavashore.routing.SuspectRecord
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Request or reply; the short serial names keep frames small. */
@Serializable
sealed interface ControlMessage {
    /**
     * An entry's state, sent to its steward every second and whenever a request waits; answered by [EntryUpdate].
     * [inFlight] holds the number of calls in flight on each leaving target, which is stopped only after these calls.
     */
    @Serializable
    @SerialName("er")
    data class EntryReport(
        val vm: VmId,
        val incarnation: Incarnation,
        val knownFacts: List<FactVersion>,
        val demands: Map<ResourceId, Demand> = emptyMap(),
        val inFlight: Map<TargetId, Int> = emptyMap(),
        val usage: List<UsageCounter> = emptyList(),
        val suspects: List<SuspectRecord> = emptyList(),
    ) : ControlMessage

    /** Facts that the entry does not have yet, its shares of resources, and the entries that may claim shares. */
    @Serializable
    @SerialName("eu")
    data class EntryUpdate(
        val facts: List<Fact> = emptyList(),
        val shares: Map<ResourceId, Long> = emptyMap(),
        val entries: List<VmId> = emptyList(),
        val isolated: Boolean = false,
    ) : ControlMessage

    /** Requests facts by their keys; answered by [FactsReply]. */
    @Serializable
    @SerialName("ff")
    data class FetchFacts(
        val keys: List<String>,
    ) : ControlMessage

    @Serializable
    @SerialName("fr")
    data class FactsReply(
        val facts: List<Fact>,
    ) : ControlMessage

    /** An entry's demand, forwarded to the steward that allocates shares; answered by [ShareReply]. */
    @Serializable
    @SerialName("sr")
    data class ShareRequest(
        val vm: VmId,
        val incarnation: Incarnation,
        val demands: Map<ResourceId, Demand>,
        val inFlight: Map<TargetId, Int>,
        val tableVersions: List<FactVersion>,
        val usage: List<UsageCounter>,
    ) : ControlMessage

    /** Allocated shares; [refused] is true if the receiver of the [ShareRequest] does not hold the lease. */
    @Serializable
    @SerialName("sp")
    data class ShareReply(
        val shares: Map<ResourceId, Long>,
        val refused: Boolean = false,
    ) : ControlMessage

    /** Claims an idempotency key; answered by [ClaimReply]. */
    @Serializable
    @SerialName("cl")
    data class ClaimRequest(
        val key: ClaimKey,
        val attempt: AttemptId,
    ) : ControlMessage

    @Serializable
    @SerialName("cr")
    data class ClaimReply(
        val outcome: ClaimOutcome,
    ) : ControlMessage

    /** Records the end of a claimed request: its response, or null if it certainly did not run; answered by [Done]. */
    @Serializable
    @SerialName("cf")
    data class ClaimEnd(
        val key: ClaimKey,
        val attempt: AttemptId,
        @SerialName("answer") val response: RecordedResponse?,
    ) : ControlMessage

    @Serializable
    @SerialName("ok")
    data object Done : ControlMessage

    /** Reply to a message that the receiver can't read or does not handle. */
    @Serializable
    @SerialName("no")
    data class Rejected(
        val reason: String,
    ) : ControlMessage
}
