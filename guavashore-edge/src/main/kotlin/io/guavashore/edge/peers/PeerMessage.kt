/*
 * Messages between the VMs of the system.
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
import io.guavashore.leases.LeaseRecord
import io.guavashore.platform.Collection
import io.guavashore.platform.EntryChange
import io.guavashore.platform.StoreAnswer
import io.guavashore.platform.StoreCall
import io.guavashore.platform.StoreFault
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** One start of the process on a VM. [address] is where peers reach it; [capacity] ranks it for heavy duties. */
@Serializable
data class VmRecord(
    val vm: VmId,
    val incarnation: Incarnation,
    val address: String,
    val zone: ZoneId,
    val capacity: Double,
)

/** State of the coordinator's lease as its holder last wrote it. */
@Serializable
data class CoordinatorClaim(
    val record: LeaseRecord,
    val leaseRevision: Long,
)

/** Requests of one organisation that targets began to run in one usage window, counted by one VM. */
@Serializable
data class UsageCount(
    val window: Long,
    val organisation: OrganisationId,
    val requests: Long,
)

/**
 * What a VM tells its peers of itself several times a second.
 *
 * @property wallMs its time of day, for the median that usage windows go by
 * @property newest newest change that it knows of each collection
 * @property usage its counts, if the receiver reports usage or might soon
 * @property storeReachable false while the store does not serve it
 * @property stopping true once it has been asked to stop
 */
@Serializable
data class Heartbeat(
    val vmRecord: VmRecord,
    val wallMs: Long,
    val newest: Map<Collection, Long>,
    val claim: CoordinatorClaim? = null,
    val usage: List<UsageCount> = emptyList(),
    val storeReachable: Boolean = true,
    val stopping: Boolean = false,
)

/** Message on a connection between two VMs. */
@Serializable
sealed interface PeerMessage {
    @Serializable
    @SerialName("p")
    data class Ping(
        val sequence: Long,
        val pulse: Heartbeat,
    ) : PeerMessage

    @Serializable
    @SerialName("q")
    data class Pong(
        val sequence: Long,
        val pulse: Heartbeat,
    ) : PeerMessage

    /** Changes of a collection. [completeTo] is set if the receiver lacks nothing up to it once it has applied them. */
    @Serializable
    @SerialName("n")
    data class CollectionChanges(
        val collection: Collection,
        val changes: List<EntryChange>,
        val completeTo: Long = 0,
    ) : PeerMessage

    /** Asks for the changes after a revision. */
    @Serializable
    @SerialName("w")
    data class ChangesRequest(
        val collection: Collection,
        val afterRevision: Long,
    ) : PeerMessage

    /** Unfinished texts, for the VM that would take the coordinator's work over. */
    @Serializable
    @SerialName("t")
    data class Texts(
        val parts: List<TextPart>,
    ) : PeerMessage

    /** A target said in an answer that it leaves; [bornAtMs] names its process. */
    @Serializable
    @SerialName("l")
    data class TargetLeaves(
        val target: TargetId,
        val bornAtMs: Long?,
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

/** Question to one peer. */
@Serializable
sealed interface PeerCall {
    /** Carry out a call to the store in the caller's stead. */
    @Serializable
    @SerialName("store")
    data class Store(
        val call: StoreCall,
        val timeoutMs: Long,
    ) : PeerCall

    /** Read a batch's results; only the coordinator answers. */
    @Serializable
    @SerialName("read")
    data class ReadBatch(
        val batch: BatchId,
        val organisation: OrganisationId,
        val after: Int,
        val waitMs: Long,
    ) : PeerCall

    @Serializable
    @SerialName("body")
    data class ReadBody(
        val batch: BatchId,
        val organisation: OrganisationId,
        val item: ItemId,
    ) : PeerCall

    /** End a batch: stop its work and write its end to the store. */
    @Serializable
    @SerialName("end")
    data class EndBatch(
        val batch: BatchId,
        val organisation: OrganisationId,
    ) : PeerCall

    /** A batch has been accepted: [entryRevision] and [content] as in the store. */
    @Serializable
    @SerialName("accepted")
    data class BatchAccepted(
        val batch: BatchId,
        val entryRevision: Long,
        val content: String,
    ) : PeerCall
}

/** Answer to a [PeerCall]. */
@Serializable
sealed interface PeerReply {
    @Serializable
    @SerialName("answer")
    data class Store(
        val answer: StoreAnswer? = null,
        val fault: StoreFault? = null,
    ) : PeerReply

    @Serializable
    @SerialName("page")
    data class Page(
        val page: ResultPage,
    ) : PeerReply

    @Serializable
    @SerialName("bytes")
    class Bytes(
        val bytes: ByteArray,
    ) : PeerReply

    @Serializable
    @SerialName("done")
    data object Done : PeerReply

    /** The batch or item does not exist for this caller. */
    @Serializable
    @SerialName("none")
    data object Unknown : PeerReply

    /** This VM can't tell; ask elsewhere. */
    @Serializable
    @SerialName("not-here")
    data object NotHere : PeerReply
}
