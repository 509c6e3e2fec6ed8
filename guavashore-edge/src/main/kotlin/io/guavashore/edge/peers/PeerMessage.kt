/*
 * Messages between the VMs of the system, encoded as CBOR.
 */
package io.guavashore.edge.peers

import io.guavashore.api.Incarnation
import io.guavashore.api.OrganisationId
import io.guavashore.api.TargetId
import io.guavashore.api.VmId
import io.guavashore.api.ZoneId
import io.guavashore.edge.batches.BatchId
import io.guavashore.edge.batches.ItemId
import io.guavashore.edge.batches.ResultPage
import io.guavashore.edge.batches.TextPart
import io.guavashore.edge.cold.ColdNews
import io.guavashore.edge.limits.PermitDecision
import io.guavashore.edge.limits.PermitRequest
import io.guavashore.edge.limits.TargetRateLimit
import io.guavashore.edge.loads.LoadNews
import io.guavashore.edge.suspects.SuspectRecord
import io.guavashore.leases.LeaseRecord
import io.guavashore.platform.CollectionName
import io.guavashore.platform.EntryChange
import io.guavashore.platform.StoreCall
import io.guavashore.platform.StoreCallError
import io.guavashore.platform.StoreResponse
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Record of the process that runs on a VM.
 *
 * @property incarnation number of the process start; a restarted process has a higher one
 * @property address address at which peers reach the VM, as IP:PORT
 * @property capacity processor time that the VM has, in cores; VMs with more are preferred as coordinator
 * @property relay address at which the VM accepts requests that peers relay, as IP:PORT; null if it accepts none
 */
@Serializable
data class VmRecord(
    val vm: VmId,
    val incarnation: Incarnation,
    val address: String,
    val zone: ZoneId,
    val capacity: Double,
    val relay: String? = null,
)

/** Coordinator's lease as its holder last wrote it, with the store's revision of that write. */
@Serializable
data class CoordinatorLeaseState(
    val record: LeaseRecord,
    val leaseRevision: Long,
)

/** Requests of one organisation that started on targets in one usage window, as counted by one VM. */
@Serializable
data class UsageCount(
    val window: Long,
    val organisation: OrganisationId,
    val requests: Long,
)

/**
 * Heartbeat that a VM sends to its peers several times a second.
 *
 * @property wallMs sender's wall clock, in milliseconds since the Unix epoch; an input to the median clock
 * @property newest revision of the newest change that the sender knows, for each collection
 * @property leaseState state of the coordinator's lease; null unless the sender holds or has released the lease
 * @property usage sender's counts; empty unless the receiver reports usage or may do so soon
 * @property storeReachable false while the sender's direct store calls fail
 * @property reachesTargets false while the sender can't reach any target
 * @property stopping true once the sender has been asked to stop
 * @property rateLimits limits of targets in force; empty unless the receiver has just started
 * @property suspects requests under which targets ended: those changed lately and those that may be refused
 * @property loads load that targets reported to the sender lately; empty unless they state their speed
 * @property tracksSuspects true if the sender grants trials of suspect requests
 * @property acceptsRepeated true if the sender understands [PeerMessage.RepeatedPing] and [PeerMessage.RepeatedPong]
 * @property busyEvacuatedZones zones under evacuation in which requests of the sender still run
 */
@Serializable
data class Heartbeat(
    @SerialName("card")
    val vmRecord: VmRecord,
    val wallMs: Long,
    val newest: Map<CollectionName, Long>,
    @SerialName("claim")
    val leaseState: CoordinatorLeaseState? = null,
    val usage: List<UsageCount> = emptyList(),
    val storeReachable: Boolean = true,
    val reachesTargets: Boolean = true,
    val stopping: Boolean = false,
    val rateLimits: List<TargetRateLimit> = emptyList(),
    val suspects: List<SuspectRecord> = emptyList(),
    val tracksSuspects: Boolean = false,
    val acceptsRepeated: Boolean = false,
    val busyEvacuatedZones: Set<ZoneId> = emptySet(),
    val loads: List<LoadNews> = emptyList(),
)

/** Message on a connection between two VMs. */
@Serializable
sealed interface PeerMessage {
    @Serializable
    @SerialName("p")
    data class Ping(
        val sequence: Long,
        @SerialName("pulse")
        val heartbeat: Heartbeat,
    ) : PeerMessage

    @Serializable
    @SerialName("q")
    data class Pong(
        val sequence: Long,
        @SerialName("pulse")
        val heartbeat: Heartbeat,
    ) : PeerMessage

    /** Ping whose heartbeat is the last one that the sender sent on this connection, but for its time. */
    @Serializable
    @SerialName("P")
    data class RepeatedPing(
        val sequence: Long,
        val wallMs: Long,
    ) : PeerMessage

    /** Pong whose heartbeat is the last one that the sender sent on this connection, but for its time. */
    @Serializable
    @SerialName("Q")
    data class RepeatedPong(
        val sequence: Long,
        val wallMs: Long,
    ) : PeerMessage

    /**
     * Changes of a collection. If [completeTo] is not 0, the receiver has all changes up to that revision once it has
     * applied these.
     */
    @Serializable
    @SerialName("n")
    data class CollectionChanges(
        val collection: CollectionName,
        val changes: List<EntryChange>,
        val completeTo: Long = 0,
    ) : PeerMessage

    /** Requests the changes of a collection after a revision. */
    @Serializable
    @SerialName("w")
    data class ChangesRequest(
        val collection: CollectionName,
        val afterRevision: Long,
    ) : PeerMessage

    /** Partially generated texts, replicated to the VMs that would take over as coordinator. */
    @Serializable
    @SerialName("t")
    data class PartialTexts(
        val parts: List<TextPart>,
    ) : PeerMessage

    /** A target announced in a response that it is leaving; [bornAtMs] identifies the target's process. */
    @Serializable
    @SerialName("l")
    data class TargetLeaving(
        val target: TargetId,
        val bornAtMs: Long?,
    ) : PeerMessage

    /** A target was reached again and may be cold. Sent only where its service declares a cold rate. */
    @Serializable
    @SerialName("k")
    data class TargetCold(
        val news: ColdNews,
    ) : PeerMessage

    /** Limits that targets set on the rate of their requests, or that have been lifted. */
    @Serializable
    @SerialName("m")
    data class RateLimits(
        val limits: List<TargetRateLimit>,
    ) : PeerMessage

    @Serializable
    @SerialName("c")
    data class Call(
        val id: Long,
        val call: PeerCall,
    ) : PeerMessage

    @Serializable
    @SerialName("r")
    data class Reply(
        val id: Long,
        val reply: PeerReply,
    ) : PeerMessage
}

/** Call to one peer. */
@Serializable
sealed interface PeerCall {
    /** Executes a store call on behalf of the caller. */
    @Serializable
    @SerialName("store")
    data class Store(
        val call: StoreCall,
        val timeoutMs: Long,
    ) : PeerCall

    /** Requests permits for requests to limited targets; only the coordinator replies. */
    @Serializable
    @SerialName("permits")
    data class Permits(
        val requests: List<PermitRequest>,
    ) : PeerCall

    /** Asks for a trial of a suspect request for [holder], which takes [maxMs] at most. */
    @Serializable
    @SerialName("begin-trial")
    data class BeginTrial(
        val record: SuspectRecord,
        val holder: VmId,
        val maxMs: Long,
    ) : PeerCall

    /** Ends the trial of [holder]; [record] includes its outcome. */
    @Serializable
    @SerialName("end-trial")
    data class EndTrial(
        val record: SuspectRecord,
        val holder: VmId,
    ) : PeerCall

    /** Reads results of a batch, after index [after]; only the coordinator replies. */
    @Serializable
    @SerialName("read")
    data class ReadBatch(
        val batch: BatchId,
        val organisation: OrganisationId,
        val after: Int,
        val waitMs: Long,
    ) : PeerCall

    /** Reads the request body of an item; only the coordinator replies. */
    @Serializable
    @SerialName("body")
    data class ReadBody(
        val batch: BatchId,
        val organisation: OrganisationId,
        val item: ItemId,
    ) : PeerCall

    /** Ends a batch: stops its work and records its end in the store. */
    @Serializable
    @SerialName("end")
    data class EndBatch(
        val batch: BatchId,
        val organisation: OrganisationId,
    ) : PeerCall

    /** Notifies the coordinator of an accepted batch; [entryRevision] and [content] are as in the store. */
    @Serializable
    @SerialName("accepted")
    data class BatchAccepted(
        val batch: BatchId,
        val entryRevision: Long,
        val content: String,
    ) : PeerCall
}

/** Reply to a [PeerCall]. */
@Serializable
sealed interface PeerReply {
    /** Outcome of a store call: the store's response, or the fault if the call failed. */
    @Serializable
    @SerialName("answer")
    data class Store(
        @SerialName("answer")
        val response: StoreResponse? = null,
        val fault: StoreCallError? = null,
    ) : PeerReply

    /** Decisions on the requests of a [PeerCall.Permits], in their order. */
    @Serializable
    @SerialName("permits")
    data class Permits(
        val decisions: List<PermitDecision>,
    ) : PeerReply

    /** Reply to a [PeerCall.BeginTrial], with what the sender knows of the request. */
    @Serializable
    @SerialName("trial")
    data class Trial(
        val isGranted: Boolean,
        val record: SuspectRecord,
    ) : PeerReply

    /** [waitedMs] is the time for which the coordinator waited for a result before it formed the page. */
    @Serializable
    @SerialName("page")
    data class Page(
        val page: ResultPage,
        val waitedMs: Long = 0,
    ) : PeerReply

    @Serializable
    @SerialName("bytes")
    class Bytes(
        val bytes: ByteArray,
    ) : PeerReply

    @Serializable
    @SerialName("done")
    data object Done : PeerReply

    /** The batch or item does not exist, or belongs to another organisation. */
    @Serializable
    @SerialName("none")
    data object Unknown : PeerReply

    /**
     * This VM has not handled the call, for instance because it is not the coordinator; another VM or the store may.
     * A coordinator of an earlier version also replies this to an end whose write failed.
     */
    @Serializable
    @SerialName("not-here")
    data object NotHere : PeerReply
}
