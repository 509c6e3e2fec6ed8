/*
 * Membership by random probes: each period a member probes one other; who answers neither directly nor through
 * helpers becomes suspect, then dead. News of members travels with the probes, a bounded number at a time, so that
 * bytes per member do not grow with the fleet. The platform's VM list is taken as a hint of whom to probe.
 */
package io.guavashore.membership

import io.guavashore.api.Endpoint
import io.guavashore.api.VmId
import io.guavashore.api.ZoneId
import kotlin.random.Random

/** Periods and bounds of the probes. */
data class MembershipTerms(
    val probeEveryMs: Long = 1_000,
    val ackWithinMs: Long = 400,
    val suspectForMs: Long = 4_000,
    val helpers: Int = 2,
    val recordsPerMessage: Int = 4,
    val rumourFanout: Int = 3,
    val retryDeadEveryMs: Long = 5_000,
)

/** A member that might exist, from settings or from the VM list. */
data class MemberHint(
    val vm: VmId,
    val zone: ZoneId,
    val control: Endpoint,
)

/** State machine of one member. Not thread-safe; all time is passed in. */
class Membership(
    self: MemberRecord,
    private val facts: FactTable,
    private val random: Random,
    startedAtMs: Long,
    private val terms: MembershipTerms = MembershipTerms(),
) {
    private class OpenProbe(
        val target: VmId?,
        val to: Endpoint,
        val sentAtMs: Long,
        val forwardTo: Pair<Endpoint, Long>? = null,
        var helpersAsked: Boolean = false,
    )

    private class Spread(
        val record: MemberRecord,
        var timesSent: Int = 0,
    )

    var self: MemberRecord = self
        private set

    private val members = HashMap<VmId, MemberRecord>()
    private val suspectSinceMs = HashMap<VmId, Long>()
    private val hints = HashMap<VmId, MemberHint>()
    private val open = HashMap<Long, OpenProbe>()
    private val spreads = LinkedHashMap<VmId, Spread>()
    private var probeOrder = ArrayDeque<VmId>()
    private var nextProbeAtMs = 0L
    private var nextRetryAtMs = 0L
    private var sequence = 0L
    private var factsHashSpread = 0L
    private var platformHeardAtMs = startedAtMs

    /** Members that are alive or merely suspect, this one included. */
    fun live(): List<MemberRecord> =
        (members.values.filter { it.state <= MemberState.SUSPECT } + self).sortedBy { it.vm }

    /** True if at least one other member is alive. */
    fun hasPeers(): Boolean = members.values.any { it.state == MemberState.ALIVE }

    /** Records that the platform answered this member. */
    fun notePlatform(nowMs: Long) {
        platformHeardAtMs = maxOf(platformHeardAtMs, nowMs)
    }

    /** How long ago the platform answered any member that this one has heard of. */
    fun platformAgeMs(nowMs: Long): Long = nowMs - platformHeardAtMs

    /** Replaces the hints of whom to probe. */
    fun hint(all: List<MemberHint>) {
        hints.clear()
        all.filter { it.vm != self.vm }.associateByTo(hints) { it.vm }
    }

    /** Says goodbye to [MembershipTerms.rumourFanout] members. */
    fun leave(): List<Outgoing> {
        self = self.copy(state = MemberState.LEFT, incarnation = self.incarnation + 1)
        return randomLive(terms.rumourFanout).map { probe(it.vm, it.control, nowMs = nextProbeAtMs) }
    }

    /** Does what is due at [nowMs]. Call it a few times per [MembershipTerms.ackWithinMs]. */
    fun tick(nowMs: Long): List<Outgoing> {
        val out = mutableListOf<Outgoing>()
        out += handleLateProbes(nowMs)
        buryOldSuspects(nowMs)
        out += spreadNewFacts(nowMs)
        if (nowMs >= nextProbeAtMs) {
            nextProbeAtMs = nowMs + terms.probeEveryMs
            nextToProbe()?.let { out += probe(it.vm, it.control, nowMs) }
        }
        if (nowMs >= nextRetryAtMs) {
            nextRetryAtMs = nowMs + if (hasPeers()) terms.retryDeadEveryMs else terms.probeEveryMs
            unknownOrDead()?.let { out += probe(it.vm, it.control, nowMs) }
        }
        return out
    }

    /** Takes in [message], which came from [source], and returns the answers. */
    fun receive(
        message: MemberMessage,
        source: Endpoint,
        nowMs: Long,
    ): List<Outgoing> {
        learn(message.from, nowMs)
        platformHeardAtMs = maxOf(platformHeardAtMs, nowMs - message.gossip.platformAgeMs)
        message.gossip.records.forEach { learn(it, nowMs) }
        return when (message) {
            is MemberMessage.Probe -> {
                val withFacts = message.gossip.factsHash != facts.hash()
                listOf(
                    Outgoing(
                        source,
                        MemberMessage.Ack(message.sequence, self, gossip(nowMs, withFacts, message.from.vm)),
                    ),
                )
            }
            is MemberMessage.Ack -> acknowledged(message)
            is MemberMessage.IndirectProbe -> {
                val forwardTo = source to message.sequence
                listOf(probe(target = null, to = message.target, nowMs = nowMs, forwardTo = forwardTo))
            }
        }
    }

    private fun acknowledged(ack: MemberMessage.Ack): List<Outgoing> {
        val probe = open.remove(ack.sequence) ?: return emptyList()
        val (origin, sequence) = probe.forwardTo ?: return emptyList()
        return listOf(Outgoing(origin, MemberMessage.Ack(sequence, ack.from, ack.gossip)))
    }

    private fun handleLateProbes(nowMs: Long): List<Outgoing> {
        val late = open.filterValues { nowMs >= it.sentAtMs + terms.ackWithinMs }
        return late.flatMap { (sequence, probe) -> handleLate(sequence, probe, nowMs) }
    }

    private fun handleLate(
        sequence: Long,
        probe: OpenProbe,
        nowMs: Long,
    ): List<Outgoing> {
        val target = probe.target
        if (target != null && !probe.helpersAsked && members[target]?.state == MemberState.ALIVE) {
            probe.helpersAsked = true
            val helpers = randomLive(terms.helpers, except = target)
            return helpers.map {
                Outgoing(
                    it.control,
                    MemberMessage.IndirectProbe(sequence, probe.to, self, gossip(nowMs)),
                )
            }
        }
        if (nowMs < probe.sentAtMs + terms.ackWithinMs * ACK_ROUNDS) return emptyList()
        open.remove(sequence)
        val record = target?.let(members::get) ?: return emptyList()
        if (record.state == MemberState.ALIVE) learn(record.copy(state = MemberState.SUSPECT), nowMs)
        return emptyList()
    }

    private fun buryOldSuspects(nowMs: Long) {
        val due = suspectSinceMs.filterValues { nowMs >= it + terms.suspectForMs }.keys.toList()
        due.forEach { vm -> members[vm]?.let { learn(it.copy(state = MemberState.DEAD), nowMs) } }
    }

    /** New facts are told to a few members at once; the regular probes bring them to the rest. */
    private fun spreadNewFacts(nowMs: Long): List<Outgoing> {
        val hash = facts.hash()
        if (hash == factsHashSpread) return emptyList()
        factsHashSpread = hash
        return randomLive(terms.rumourFanout).map { probe(it.vm, it.control, nowMs, withFacts = true) }
    }

    private fun learn(
        record: MemberRecord,
        nowMs: Long,
    ) {
        if (record.vm == self.vm) return refute(record)
        val known = members[record.vm]
        if (known != null && !record.supersedes(known)) return
        members[record.vm] = record
        if (record.state == MemberState.SUSPECT) suspectSinceMs[record.vm] = nowMs else suspectSinceMs.remove(record.vm)
        spreads[record.vm] = Spread(record)
    }

    private fun refute(record: MemberRecord) {
        if (record.incarnation < self.incarnation || record.state == MemberState.ALIVE) return
        if (self.state == MemberState.LEFT) return
        self = self.copy(incarnation = record.incarnation + 1)
        spreads[self.vm] = Spread(self)
    }

    private fun probe(
        target: VmId?,
        to: Endpoint,
        nowMs: Long,
        withFacts: Boolean = false,
        forwardTo: Pair<Endpoint, Long>? = null,
    ): Outgoing {
        val number = ++sequence
        open[number] = OpenProbe(target, to, sentAtMs = nowMs, forwardTo = forwardTo)
        return Outgoing(to, MemberMessage.Probe(number, self, gossip(nowMs, withFacts, target)))
    }

    /** A [receiver] that is held for suspect or dead is told so, since only it can refute that. */
    private fun gossip(
        nowMs: Long,
        withFacts: Boolean = false,
        receiver: VmId? = null,
    ): Gossip {
        val least = spreads.values.sortedBy { it.timesSent }.take(terms.recordsPerMessage)
        least.forEach { it.timesSent++ }
        val toRefute = listOfNotNull(receiver?.let(members::get)?.takeIf { it.state != MemberState.ALIVE })
        val records = toRefute + least.map { it.record }
        val enough = SPREAD_FACTOR * (Int.SIZE_BITS - (members.size + 1).countLeadingZeroBits())
        spreads.values.removeIf { it.timesSent >= enough }
        val versions = if (withFacts) facts.versions() else emptyList()
        return Gossip(records, facts.hash(), platformAgeMs(nowMs), versions)
    }

    private fun nextToProbe(): MemberRecord? {
        if (probeOrder.isEmpty()) {
            probeOrder = ArrayDeque(members.filterValues { it.state <= MemberState.SUSPECT }.keys.shuffled(random))
        }
        return probeOrder.removeFirstOrNull()?.let(members::get)
    }

    private fun unknownOrDead(): MemberHint? =
        hints.values
            .filter { hint -> (members[hint.vm]?.state ?: MemberState.DEAD) > MemberState.SUSPECT }
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
        const val ACK_ROUNDS = 3
        const val SPREAD_FACTOR = 3
    }
}
