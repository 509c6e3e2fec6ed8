package io.guavashore.membership

import io.guavashore.api.Endpoint
import io.guavashore.api.VmId
import io.guavashore.api.ZoneId
import org.junit.jupiter.api.Nested
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class MembershipTest {
    /** Members with a shared virtual clock, connected by a network whose links can be cut. */
    private class Fleet(
        size: Int,
        seed: Int = 1,
    ) {
        val random = Random(seed)
        var nowMs = 0L
        var isCut: (Int, Int) -> Boolean = { _, _ -> false }
        val down = mutableSetOf<Int>()
        val facts = List(size) { FactTable() }
        val members = List(size) { Membership(record(it), facts[it], Random(seed * 1_000 + it), startedAtMs = 0) }

        init {
            val hints = List(size) { MemberHint(VmId("vm-$it"), ZoneId("a"), endpoint(it)) }
            members.forEach { it.replaceHints(hints) }
        }

        fun run(forMs: Long) {
            val endMs = nowMs + forMs
            while (nowMs < endMs) {
                nowMs += 100
                members.indices.filter { it !in down }.forEach { deliver(it, members[it].tick(nowMs)) }
            }
        }

        private fun deliver(
            from: Int,
            messages: List<OutgoingMessage>,
        ) {
            messages.forEach { outgoing ->
                val to = outgoing.to.port
                if (to in down || isCut(from, to)) return@forEach
                val receivedVersions = outgoing.message.gossip.facts
                facts[to].outdatedKeys(receivedVersions).forEach { key -> facts[from][key]?.let(facts[to]::offer) }
                deliver(to, members[to].receive(outgoing.message, endpoint(from), nowMs))
            }
        }

        private fun record(index: Int) =
            MemberRecord(VmId("vm-$index"), ZoneId("a"), endpoint(index), endpoint(index), incarnation = 1)

        private fun endpoint(index: Int) = Endpoint("127.0.0.1", index)
    }

    private fun Fleet.sizes() =
        members.indices
            .filter { it !in down }
            .map { members[it].live().size }
            .toSet()

    @Test
    fun `all members discover each other from the VM list`() {
        val fleet = Fleet(7)
        fleet.run(40_000)
        assertEquals(setOf(7), fleet.sizes())
    }

    @Nested
    inner class `a crashed member` {
        @Test
        fun `a crashed member is removed from every list within 15 s and returns after its restart`() {
            val fleet = Fleet(7)
            fleet.run(40_000)
            fleet.down += 3
            fleet.run(15_000)
            assertEquals(setOf(6), fleet.sizes())
            fleet.down.clear()
            fleet.run(40_000)
            assertEquals(setOf(7), fleet.sizes())
        }
    }

    @Nested
    inner class `a network partition` {
        @Test
        fun `a partition between only two members makes neither dead`() {
            val fleet = Fleet(7)
            fleet.run(40_000)
            fleet.isCut = { a, b -> setOf(a, b) == setOf(1, 2) }
            fleet.run(60_000)
            assertEquals(setOf(7), fleet.sizes())
        }

        @Test
        fun `a partition splits the fleet into two groups, which merge once it ends`() {
            val fleet = Fleet(7)
            fleet.run(40_000)
            fleet.isCut = { a, b -> (a < 3) != (b < 3) }
            fleet.run(30_000)
            assertEquals(setOf(3, 4), fleet.sizes())
            fleet.isCut = { _, _ -> false }
            fleet.run(60_000)
            assertEquals(setOf(7), fleet.sizes())
        }
    }

    @Nested
    inner class `the time of the platform's last response` {
        @Test
        fun `the platform's last response becomes known to all members of the same partition, and to no others`() {
            val fleet = Fleet(50)
            fleet.run(60_000)
            repeat(60) {
                fleet.members[0].recordPlatformResponse(fleet.nowMs)
                fleet.run(1_000)
            }
            assertTrue(fleet.members.all { it.platformAgeMs(fleet.nowMs) < 20_000 })
            fleet.isCut = { a, b -> (a < 25) != (b < 25) }
            repeat(60) {
                fleet.members[0].recordPlatformResponse(fleet.nowMs)
                fleet.run(1_000)
            }
            assertEquals(25, fleet.members.count { it.platformAgeMs(fleet.nowMs) < 20_000 })
        }
    }

    @Nested
    inner class `facts` {
        @Test
        fun `facts reach every member within 5 s and never revert to a lower version`() {
            val fleet = Fleet(50)
            fleet.run(120_000)
            fleet.facts[0].offer(Fact(FactVersion("config/t", 7, 0), "seven"))
            fleet.run(5_000)
            assertEquals(50, fleet.facts.count { it["config/t"]?.content == "seven" })
            assertFalse(fleet.facts[9].offer(Fact(FactVersion("config/t", 6, 99), "six")))
            assertTrue(fleet.facts[9].offer(Fact(FactVersion("config/t", 7, 1), "seven, amended")))
        }
    }
}
