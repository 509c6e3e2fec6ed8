/*
 * What members know of each other, and the messages by which they learn it.
 */
package io.guavashore.membership

import io.guavashore.api.Endpoint
import io.guavashore.api.VmId
import io.guavashore.api.ZoneId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** State of a member. */
@Serializable
enum class MemberState { ALIVE, SUSPECT, DEAD, LEFT }

/** A member: the steward of one VM. [incarnation] starts at its start time and grows as it refutes suspicions. */
@Serializable
data class MemberRecord(
    val vm: VmId,
    val zone: ZoneId,
    val control: Endpoint,
    val operations: Endpoint,
    val incarnation: Long,
    val state: MemberState = MemberState.ALIVE,
) {
    /** True if this record replaces [other]: a higher incarnation, or a worse state of the same one. */
    fun supersedes(other: MemberRecord): Boolean =
        incarnation > other.incarnation || (incarnation == other.incarnation && state > other.state)
}

/**
 * News that travels with each message. [factsHash] is the hash of all fact versions of the sender; [platformAgeMs]
 * is how long ago the platform answered anybody that the sender has heard of, directly or not.
 */
@Serializable
data class Gossip(
    val records: List<MemberRecord>,
    val factsHash: Long,
    val platformAgeMs: Long,
    val facts: List<FactVersion> = emptyList(),
)

/** Datagram between stewards. */
@Serializable
sealed interface MemberMessage {
    val from: MemberRecord
    val gossip: Gossip

    @Serializable
    @SerialName("p")
    data class Probe(
        val sequence: Long,
        override val from: MemberRecord,
        override val gossip: Gossip,
    ) : MemberMessage

    @Serializable
    @SerialName("a")
    data class Ack(
        val sequence: Long,
        override val from: MemberRecord,
        override val gossip: Gossip,
    ) : MemberMessage

    /** Asks the receiver to probe [target] and to pass on its ack. */
    @Serializable
    @SerialName("i")
    data class IndirectProbe(
        val sequence: Long,
        val target: Endpoint,
        override val from: MemberRecord,
        override val gossip: Gossip,
    ) : MemberMessage
}

/** Message to send. */
data class Outgoing(
    val to: Endpoint,
    val message: MemberMessage,
)
