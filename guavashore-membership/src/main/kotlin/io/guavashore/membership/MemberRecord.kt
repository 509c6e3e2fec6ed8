/*
 * Records of members, and the messages in which members exchange them.
 */
package io.guavashore.membership

import io.guavashore.api.Endpoint
import io.guavashore.api.VmId
import io.guavashore.api.ZoneId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** State of a member. Of two records with the same incarnation, the one whose state is listed later here wins. */
@Serializable
enum class MemberState { ALIVE, SUSPECT, DEAD, LEFT }

/**
 * Member of the fleet: the steward of one VM.
 *
 * @property control address for datagrams between stewards
 * @property incarnation initially the steward's start time; raised by the member to refute suspicions
 */
@Serializable
data class MemberRecord(
    val vm: VmId,
    val zone: ZoneId,
    val control: Endpoint,
    val operations: Endpoint,
    val incarnation: Long,
    val state: MemberState = MemberState.ALIVE,
) {
    /** Returns true if this record replaces [other]: it has a higher incarnation, or the same one and a later state. */
    fun supersedes(other: MemberRecord): Boolean =
        incarnation > other.incarnation || (incarnation == other.incarnation && state > other.state)
}

/**
 * Gossip attached to each message.
 *
 * @property records records of members that changed recently
 * @property factsHash hash of the versions of all facts of the sender
 * @property platformAgeMs time since the platform last responded to any member, as far as the sender knows
 * @property facts versions of all facts of the sender, or empty if they are not included
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

    /** Asks the receiver to probe [target] and to relay its ack to the sender. */
    @Serializable
    @SerialName("i")
    data class IndirectProbe(
        val sequence: Long,
        val target: Endpoint,
        override val from: MemberRecord,
        override val gossip: Gossip,
    ) : MemberMessage
}

/** Message to send, and its destination. */
data class OutgoingMessage(
    val to: Endpoint,
    val message: MemberMessage,
)
