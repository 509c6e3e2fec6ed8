/*
 * Measures the traffic, CPU cost and propagation times of the membership by fleet size, with the production state
 * machines and encoders on a simulated clock and network.
 */
package io.guavashore.experiment

import io.guavashore.api.Endpoint
import io.guavashore.api.VmId
import io.guavashore.api.ZoneId
import io.guavashore.membership.Fact
import io.guavashore.membership.FactTable
import io.guavashore.membership.FactVersion
import io.guavashore.membership.MemberHint
import io.guavashore.membership.MemberMessage
import io.guavashore.membership.MemberRecord
import io.guavashore.membership.Membership
import io.guavashore.membership.OutgoingMessage
import io.guavashore.wire.ControlMessage
import io.guavashore.wire.encodeBody
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import java.lang.management.ManagementFactory
import kotlin.random.Random

/** Results for one fleet size. Rates and the CPU share are per node and count each message at both ends. */
@Serializable
data class FleetFigures(
    val nodes: Int,
    val joiningBytesPerS: Double,
    val steadyBytesPerS: Double,
    val steadyMessagesPerS: Double,
    val cpuShareOfCore: Double,
    val bytesPerChange: Double,
    @SerialName("factSpreadMs") val factPropagationMs: Long,
    @SerialName("crashKnownMs") val crashDetectionMs: Long,
)

/** Simulated fleet of [size] nodes in one process, on virtual time. */
internal class FleetMeasurement(
    private val size: Int,
    seed: Int = 1,
) {
    private val facts = List(size) { FactTable() }
    private val members =
        List(size) { Membership(record(it), facts[it], Random(seed * SEED_FACTOR + it), startedAtMs = 0) }
    private val crashedMembers = mutableSetOf<Int>()
    private var nowMs = 0L
    private var bytes = 0L
    private var messages = 0L

    fun measure(): FleetFigures {
        val hints = List(size) { MemberHint(VmId("vm-$it"), zoneOf(it), endpoint(it)) }
        members.forEach { it.replaceHints(hints) }
        repeat(FACTS) { facts[0].offer(fact("config/team-$it", 1)) }
        run(SETTLE_MS) { allMembersKnown() }
        val joining = measureWindow { run(WINDOW_MS) }
        run(IDLE_MS)
        val steady = measureWindow { run(WINDOW_MS) }
        val changeOfferedAtMs = nowMs
        facts[0].offer(fact("config/team-0", 2))
        run(MAX_WAIT_MS) { facts.all { it["config/team-0"]?.version?.term == 2L } }
        val propagationMs = nowMs - changeOfferedAtMs
        val changing = measureWindow { publishChanges() }
        val crashedAtMs = nowMs
        crashedMembers += size - 1
        run(MAX_WAIT_MS) { members.indices.filter { it !in crashedMembers }.all { index -> hasDetectedCrashes(index) } }
        return FleetFigures(
            nodes = size,
            joiningBytesPerS = joining.bytesPerS,
            steadyBytesPerS = steady.bytesPerS,
            steadyMessagesPerS = steady.messagesPerS,
            cpuShareOfCore = steady.cpuShare,
            bytesPerChange = (changing.bytesPerS - steady.bytesPerS) * changing.seconds / CHANGES,
            factPropagationMs = propagationMs,
            crashDetectionMs = nowMs - crashedAtMs,
        )
    }

    private class Window(
        val seconds: Double,
        val bytesPerS: Double,
        val messagesPerS: Double,
        val cpuShare: Double,
    )

    private fun measureWindow(block: () -> Unit): Window {
        val fromMs = nowMs
        val cpuFrom = cpuNs()
        bytes = 0
        messages = 0
        block()
        val seconds = (nowMs - fromMs) / MS_PER_S
        return Window(
            seconds = seconds,
            bytesPerS = bytes / seconds / size,
            messagesPerS = messages / seconds / size,
            cpuShare = (cpuNs() - cpuFrom) / NS_PER_S / seconds / size,
        )
    }

    /** Publishes one configuration change per second, far more often than operators make changes. */
    private fun publishChanges() =
        repeat(CHANGES) { round ->
            facts[round % size].offer(fact("config/team-1", term = round + 2L))
            run(MS_PER_S.toLong())
        }

    private fun allMembersKnown() = members.all { it.live().size == size }

    private fun hasDetectedCrashes(index: Int) = members[index].live().size == size - crashedMembers.size

    private fun run(
        forMs: Long,
        until: () -> Boolean = { false },
    ) {
        val endMs = nowMs + forMs
        while (nowMs < endMs) {
            nowMs += TICK_MS
            members.indices.filter { it !in crashedMembers }.forEach { deliver(it, members[it].tick(nowMs)) }
            if (nowMs % MS_PER_S.toLong() == 0L && until()) return
        }
    }

    private fun deliver(
        from: Int,
        out: List<OutgoingMessage>,
    ) {
        out.forEach { outgoing ->
            val to = outgoing.to.port
            countMessage(encodeBody(MemberMessage.serializer(), outgoing.message).size)
            if (to in crashedMembers) return@forEach
            val outdatedKeys = facts[to].outdatedKeys(outgoing.message.gossip.facts)
            if (outdatedKeys.isNotEmpty()) fetch(outdatedKeys, from, to)
            deliver(to, members[to].receive(outgoing.message, endpoint(from), nowMs))
        }
    }

    private fun fetch(
        keys: List<String>,
        from: Int,
        to: Int,
    ) {
        val reply = ControlMessage.FactsReply(keys.mapNotNull { facts[from][it] })
        countMessage(encodeBody(ControlMessage.serializer(), ControlMessage.FetchFacts(keys)).size)
        countMessage(encodeBody(ControlMessage.serializer(), reply).size)
        reply.facts.forEach(facts[to]::offer)
    }

    /** Counts a message twice, for its sender and its receiver. */
    private fun countMessage(bodyBytes: Int) {
        bytes += (bodyBytes + HEADER_BYTES) * 2L
        messages += 2
    }

    private fun fact(
        key: String,
        term: Long,
    ) = Fact(FactVersion(key, term, 0), "x".repeat(DECLARATION_BYTES))

    private fun record(index: Int) =
        MemberRecord(
            VmId("vm-$index"),
            zoneOf(index),
            endpoint(index),
            endpoint(index),
            incarnation = 1_796_000_000_000,
        )

    private fun zoneOf(index: Int) = ZoneId("zone-${index % ZONES}")

    private fun endpoint(index: Int) = Endpoint("10.0.0.1", index)

    private fun cpuNs() = ManagementFactory.getThreadMXBean().currentThreadCpuTime

    private companion object {
        const val SEED_FACTOR = 1_000
        const val FACTS = 8
        const val ZONES = 5
        const val TICK_MS = 100L
        const val SETTLE_MS = 600_000L
        const val IDLE_MS = 900_000L
        const val WINDOW_MS = 30_000L
        const val MAX_WAIT_MS = 120_000L
        const val CHANGES = 10
        const val HEADER_BYTES = 28
        const val DECLARATION_BYTES = 6_000
        const val MS_PER_S = 1_000.0
        const val NS_PER_S = 1e9
    }
}
