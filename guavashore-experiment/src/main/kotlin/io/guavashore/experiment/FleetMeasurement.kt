/*
 * Cost and speed of the membership by size of the fleet: real state machines and real encoders, virtual time and
 * network.
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
import io.guavashore.membership.Outgoing
import io.guavashore.wire.ControlMessage
import io.guavashore.wire.encodeBody
import kotlinx.serialization.Serializable
import java.lang.management.ManagementFactory
import kotlin.random.Random

/** Figures of one fleet size, per node. */
@Serializable
data class FleetFigures(
    val nodes: Int,
    val joiningBytesPerS: Double,
    val steadyBytesPerS: Double,
    val steadyMessagesPerS: Double,
    val cpuShareOfCore: Double,
    val bytesPerChange: Double,
    val factSpreadMs: Long,
    val crashKnownMs: Long,
)

/** Fleet in one process under virtual time. */
internal class FleetMeasurement(
    private val size: Int,
    seed: Int = 1,
) {
    private val facts = List(size) { FactTable() }
    private val members =
        List(size) { Membership(record(it), facts[it], Random(seed * SEED_FACTOR + it), startedAtMs = 0) }
    private val down = mutableSetOf<Int>()
    private var nowMs = 0L
    private var bytes = 0L
    private var messages = 0L

    fun measure(): FleetFigures {
        val hints = List(size) { MemberHint(VmId("vm-$it"), zoneOf(it), endpoint(it)) }
        members.forEach { it.hint(hints) }
        repeat(FACTS) { facts[0].offer(fact("config/team-$it", 1)) }
        run(SETTLE_MS) { settled() }
        val joining = window { run(WINDOW_MS) }
        run(QUIET_MS)
        val steady = window { run(WINDOW_MS) }
        val spreadFrom = nowMs
        facts[0].offer(fact("config/team-0", 2))
        run(LIMIT_MS) { facts.all { it["config/team-0"]?.version?.term == 2L } }
        val spreadMs = nowMs - spreadFrom
        val busy = window { churn() }
        val crashFrom = nowMs
        down += size - 1
        run(LIMIT_MS) { members.indices.filter { it !in down }.all { index -> knowsCrash(index) } }
        return FleetFigures(
            nodes = size,
            joiningBytesPerS = joining.bytesPerS,
            steadyBytesPerS = steady.bytesPerS,
            steadyMessagesPerS = steady.messagesPerS,
            cpuShareOfCore = steady.cpuShare,
            bytesPerChange = (busy.bytesPerS - steady.bytesPerS) * busy.seconds / CHURN_S,
            factSpreadMs = spreadMs,
            crashKnownMs = nowMs - crashFrom,
        )
    }

    private class Window(
        val seconds: Double,
        val bytesPerS: Double,
        val messagesPerS: Double,
        val cpuShare: Double,
    )

    private fun window(block: () -> Unit): Window {
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

    /** One change of configuration a second, far above what a day brings. */
    private fun churn() =
        repeat(CHURN_S) { round ->
            facts[round % size].offer(fact("config/team-1", term = round + 2L))
            run(MS_PER_S.toLong())
        }

    private fun settled() = members.all { it.live().size == size }

    private fun knowsCrash(index: Int) = members[index].live().size == size - down.size

    private fun run(
        forMs: Long,
        until: () -> Boolean = { false },
    ) {
        val endMs = nowMs + forMs
        while (nowMs < endMs) {
            nowMs += TICK_MS
            members.indices.filter { it !in down }.forEach { deliver(it, members[it].tick(nowMs)) }
            if (nowMs % MS_PER_S.toLong() == 0L && until()) return
        }
    }

    private fun deliver(
        from: Int,
        out: List<Outgoing>,
    ) {
        out.forEach { outgoing ->
            val to = outgoing.to.port
            count(encodeBody(MemberMessage.serializer(), outgoing.message).size)
            if (to in down) return@forEach
            val missing = facts[to].missing(outgoing.message.gossip.facts)
            if (missing.isNotEmpty()) fetch(missing, from, to)
            deliver(to, members[to].receive(outgoing.message, endpoint(from), nowMs))
        }
    }

    private fun fetch(
        keys: List<String>,
        from: Int,
        to: Int,
    ) {
        val reply = ControlMessage.FactsReply(keys.mapNotNull { facts[from][it] })
        count(encodeBody(ControlMessage.serializer(), ControlMessage.FetchFacts(keys)).size)
        count(encodeBody(ControlMessage.serializer(), reply).size)
        reply.facts.forEach(facts[to]::offer)
    }

    /** Each message costs its sender and its receiver. */
    private fun count(size: Int) {
        bytes += (size + HEADER_BYTES) * 2L
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
        const val QUIET_MS = 900_000L
        const val WINDOW_MS = 30_000L
        const val LIMIT_MS = 120_000L
        const val CHURN_S = 10
        const val HEADER_BYTES = 28
        const val DECLARATION_BYTES = 6_000
        const val MS_PER_S = 1_000.0
        const val NS_PER_S = 1e9
    }
}
