/*
 * Membership and failure detection by random probes, as in the SWIM protocol. In each interval a member probes one
 * other member. A member that acknowledges neither a direct probe nor one relayed by other members becomes suspect, and
 * dead if it does not refute the suspicion in time. Changed member records are gossiped with the probes, a bounded
 * number per message, so that the bytes that a member sends do not grow with the fleet. The platform's VM list only
 * provides hints about members to probe.
 */
package io.guavashore.membership

import io.guavashore.api.Endpoint
import io.guavashore.api.VmId
import io.guavashore.api.ZoneId
import kotlin.random.Random

/**
 * Intervals, timeouts and limits of probing and gossip.
 *
 * @property indirectProbes number of members that are asked to relay a probe that was not acknowledged
 * @property maxRecordsPerMessage limit of member records that are gossiped with one message
 * @property gossipFanout number of members that are sent new facts, or a leave message, at once
 * @property retryDeadIntervalMs interval of probes to dead or unknown members from the hints
 */
data class MembershipConfig(
    val probeIntervalMs: Long = 1_000,
    val ackTimeoutMs: Long = 400,
    val suspicionTimeoutMs: Long = 4_000,
    val indirectProbes: Int = 2,
    val maxRecordsPerMessage: Int = 4,
    val gossipFanout: Int = 3,
    val retryDeadIntervalMs: Long = 5_000,
)

/** Member that may exist, according to the settings or the platform's VM list. */
data class MemberHint(
    val vm: VmId,
    val zone: ZoneId,
    val control: Endpoint,
)

/**
 * State machine of one member. It does no I/O: callers pass in the time and received messages, and send the messages
 * that it returns. Not thread-safe.
 */
class Membership(
    self: MemberRecord,
    private val facts: FactTable,
    private val random: Random,
    startedAtMs: Long,
    private val config: MembershipConfig = MembershipConfig(),
) {
    private class PendingProbe(
        val target: VmId?,
        val to: Endpoint,
        val sentAtMs: Long,
        val relayTo: Pair<Endpoint, Long>? = null,
        var indirectProbesSent: Boolean = false,
    )

    private class PendingGossip(
        val record: MemberRecord,
        var timesSent: Int = 0,
    )

    var self: MemberRecord = self
        private set

    private val members = HashMap<VmId, MemberRecord>()
    private val suspectSinceMs = HashMap<VmId, Long>()
    private val hints = HashMap<VmId, MemberHint>()
    private val pendingProbes = HashMap<Long, PendingProbe>()
    private val pendingGossip = LinkedHashMap<VmId, PendingGossip>()
    private var probeOrder = ArrayDeque<VmId>()
    private var nextProbeAtMs = 0L
    private var nextRetryAtMs = 0L
    private var sequence = 0L
    private var gossipedFactsHash = 0L
    private var lastPlatformResponseAtMs = startedAtMs

    /** Members that are alive or suspect, including this one. */
    fun live(): List<MemberRecord> =
        (members.values.filter { it.state <= MemberState.SUSPECT } + self).sortedBy { it.vm }

    /** Returns true if at least one other member is alive. */
    fun hasPeers(): Boolean = members.values.any { it.state == MemberState.ALIVE }

    /** Records that the platform responded to this member. */
    fun recordPlatformResponse(nowMs: Long) {
        lastPlatformResponseAtMs = maxOf(lastPlatformResponseAtMs, nowMs)
    }

    /** Time since the platform last responded to any member, as far as this member knows. */
    fun platformAgeMs(nowMs: Long): Long = nowMs - lastPlatformResponseAtMs

    /** Replaces the hints about members to probe. */
    fun replaceHints(all: List<MemberHint>) {
        hints.clear()
        all.filter { it.vm != self.vm }.associateByTo(hints) { it.vm }
    }

    /** Marks this member as left, and notifies [MembershipConfig.gossipFanout] members. */
    fun leave(): List<OutgoingMessage> {
        self = self.copy(state = MemberState.LEFT, incarnation = self.incarnation + 1)
        return randomLive(config.gossipFanout).map { probe(it.vm, it.control, nowMs = nextProbeAtMs) }
    }

    /** Performs all actions due at [nowMs]. To be called several times per [MembershipConfig.ackTimeoutMs]. */
    fun tick(nowMs: Long): List<OutgoingMessage> {
        val outgoing = mutableListOf<OutgoingMessage>()
        outgoing += handleOverdueProbes(nowMs)
        declareExpiredSuspectsDead(nowMs)
        outgoing += gossipNewFacts(nowMs)
        if (nowMs >= nextProbeAtMs) {
            nextProbeAtMs = nowMs + config.probeIntervalMs
            nextProbeTarget()?.let { outgoing += probe(it.vm, it.control, nowMs) }
        }
        if (nowMs >= nextRetryAtMs) {
            nextRetryAtMs = nowMs + if (hasPeers()) config.retryDeadIntervalMs else config.probeIntervalMs
            randomUnknownOrDead()?.let { outgoing += probe(it.vm, it.control, nowMs) }
        }
        return outgoing
    }

    /** Handles [message] from [source]; returns the messages to send in response. */
    fun receive(
        message: MemberMessage,
        source: Endpoint,
        nowMs: Long,
    ): List<OutgoingMessage> {
        mergeRecord(message.from, nowMs)
        lastPlatformResponseAtMs = maxOf(lastPlatformResponseAtMs, nowMs - message.gossip.platformAgeMs)
        message.gossip.records.forEach { mergeRecord(it, nowMs) }
        return when (message) {
            is MemberMessage.Probe -> {
                val includeFacts = message.gossip.factsHash != facts.hash()
                listOf(
                    OutgoingMessage(
                        source,
                        MemberMessage.Ack(message.sequence, self, gossip(nowMs, includeFacts, message.from.vm)),
                    ),
                )
            }
            is MemberMessage.Ack -> handleAck(message)
            is MemberMessage.IndirectProbe -> {
                val relayTo = source to message.sequence
                listOf(probe(target = null, to = message.target, nowMs = nowMs, relayTo = relayTo))
            }
        }
    }

    private fun handleAck(ack: MemberMessage.Ack): List<OutgoingMessage> {
        val probe = pendingProbes.remove(ack.sequence) ?: return emptyList()
        val (origin, sequence) = probe.relayTo ?: return emptyList()
        return listOf(OutgoingMessage(origin, MemberMessage.Ack(sequence, ack.from, ack.gossip)))
    }

    private fun handleOverdueProbes(nowMs: Long): List<OutgoingMessage> {
        val overdue = pendingProbes.filterValues { nowMs >= it.sentAtMs + config.ackTimeoutMs }
        return overdue.flatMap { (sequence, probe) -> handleOverdue(sequence, probe, nowMs) }
    }

    private fun handleOverdue(
        sequence: Long,
        probe: PendingProbe,
        nowMs: Long,
    ): List<OutgoingMessage> {
        val target = probe.target
        if (target != null && !probe.indirectProbesSent && members[target]?.state == MemberState.ALIVE) {
            probe.indirectProbesSent = true
            val helpers = randomLive(config.indirectProbes, except = target)
            return helpers.map {
                OutgoingMessage(
                    it.control,
                    MemberMessage.IndirectProbe(sequence, probe.to, self, gossip(nowMs)),
                )
            }
        }
        if (nowMs < probe.sentAtMs + config.ackTimeoutMs * PROBE_TIMEOUT_FACTOR) return emptyList()
        pendingProbes.remove(sequence)
        val record = target?.let(members::get) ?: return emptyList()
        if (record.state == MemberState.ALIVE) mergeRecord(record.copy(state = MemberState.SUSPECT), nowMs)
        return emptyList()
    }

    private fun declareExpiredSuspectsDead(nowMs: Long) {
        val expired = suspectSinceMs.filterValues { nowMs >= it + config.suspicionTimeoutMs }.keys.toList()
        expired.forEach { vm -> members[vm]?.let { mergeRecord(it.copy(state = MemberState.DEAD), nowMs) } }
    }

    /** Sends new facts to a few members at once; the regular probes replicate them to the rest. */
    private fun gossipNewFacts(nowMs: Long): List<OutgoingMessage> {
        val hash = facts.hash()
        if (hash == gossipedFactsHash) return emptyList()
        gossipedFactsHash = hash
        return randomLive(config.gossipFanout).map { probe(it.vm, it.control, nowMs, includeFacts = true) }
    }

    private fun mergeRecord(
        record: MemberRecord,
        nowMs: Long,
    ) {
        if (record.vm == self.vm) return refute(record)
        val known = members[record.vm]
        if (known != null && !record.supersedes(known)) return
        members[record.vm] = record
        if (record.state == MemberState.SUSPECT) suspectSinceMs[record.vm] = nowMs else suspectSinceMs.remove(record.vm)
        pendingGossip[record.vm] = PendingGossip(record)
    }

    private fun refute(record: MemberRecord) {
        if (record.incarnation < self.incarnation || record.state == MemberState.ALIVE) return
        if (self.state == MemberState.LEFT) return
        self = self.copy(incarnation = record.incarnation + 1)
        pendingGossip[self.vm] = PendingGossip(self)
    }

    private fun probe(
        target: VmId?,
        to: Endpoint,
        nowMs: Long,
        includeFacts: Boolean = false,
        relayTo: Pair<Endpoint, Long>? = null,
    ): OutgoingMessage {
        val number = ++sequence
        pendingProbes[number] = PendingProbe(target, to, sentAtMs = nowMs, relayTo = relayTo)
        return OutgoingMessage(to, MemberMessage.Probe(number, self, gossip(nowMs, includeFacts, target)))
    }

    /**
     * Gossip for the next message. The record of a [receiver] that is suspect or dead is included, since only the
     * receiver can refute it.
     */
    private fun gossip(
        nowMs: Long,
        includeFacts: Boolean = false,
        receiver: VmId? = null,
    ): Gossip {
        val leastSent = pendingGossip.values.sortedBy { it.timesSent }.take(config.maxRecordsPerMessage)
        leastSent.forEach { it.timesSent++ }
        val refutable = listOfNotNull(receiver?.let(members::get)?.takeIf { it.state != MemberState.ALIVE })
        val records = refutable + leastSent.map { it.record }
        val maxTransmissions = RETRANSMIT_MULTIPLIER * (Int.SIZE_BITS - (members.size + 1).countLeadingZeroBits())
        pendingGossip.values.removeIf { it.timesSent >= maxTransmissions }
        val versions = if (includeFacts) facts.versions() else emptyList()
        return Gossip(records, facts.hash(), platformAgeMs(nowMs), versions)
    }

    private fun nextProbeTarget(): MemberRecord? {
        if (probeOrder.isEmpty()) {
            probeOrder = ArrayDeque(members.filterValues { it.state <= MemberState.SUSPECT }.keys.shuffled(random))
        }
        return probeOrder.removeFirstOrNull()?.let(members::get)
    }

    private fun randomUnknownOrDead(): MemberHint? =
        hints.values
            .filter { candidate -> (members[candidate.vm]?.state ?: MemberState.DEAD) > MemberState.SUSPECT }
            .randomOrNull(random)

    private fun randomLive(
        count: Int,
        except: VmId? = null,
    ): List<MemberRecord> =
        members.values
            .filter { it.state == MemberState.ALIVE && it.vm != except }
            .shuffled(random)
            .take(count)

    private companion object {
        const val PROBE_TIMEOUT_FACTOR = 3
        const val RETRANSMIT_MULTIPLIER = 3
    }
}
