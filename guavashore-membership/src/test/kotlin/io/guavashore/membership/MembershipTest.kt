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
    /** Members joined by a network that can be cut, under one virtual clock. */
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
            members.forEach { it.hint(hints) }
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
            out: List<Outgoing>,
        ) {
            out.forEach { outgoing ->
                val to = outgoing.to.port
                if (to in down || isCut(from, to)) return@forEach
                val news = outgoing.message.gossip.facts
                facts[to].missing(news).forEach { key -> facts[from][key]?.let(facts[to]::offer) }
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
    fun `all members find each other from the VM list`() {
        val fleet = Fleet(7)
        fleet.run(40_000)
        assertEquals(setOf(7), fleet.sizes())
    }

    @Nested
    inner class `a crashed member` {
        @Test
        fun `is out of every list within 15 s and comes back after its restart`() {
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
    inner class `a cut` {
        @Test
        fun `between two members alone makes neither dead`() {
            val fleet = Fleet(7)
            fleet.run(40_000)
            fleet.isCut = { a, b -> setOf(a, b) == setOf(1, 2) }
            fleet.run(60_000)
            assertEquals(setOf(7), fleet.sizes())
        }

        @Test
        fun `of a zone leaves two halves that join again afterwards`() {
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
    inner class `the platform` {
        @Test
        fun `is known to be within reach wherever one node is heard that it answers, and nowhere else`() {
            val fleet = Fleet(50)
            fleet.run(60_000)
            repeat(60) {
                fleet.members[0].notePlatform(fleet.nowMs)
                fleet.run(1_000)
            }
            assertTrue(fleet.members.all { it.platformAgeMs(fleet.nowMs) < 20_000 })
            fleet.isCut = { a, b -> (a < 25) != (b < 25) }
            repeat(60) {
                fleet.members[0].notePlatform(fleet.nowMs)
                fleet.run(1_000)
            }
            assertEquals(25, fleet.members.count { it.platformAgeMs(fleet.nowMs) < 20_000 })
        }
    }

    @Nested
    inner class `facts` {
        @Test
        fun `reach every member within seconds and never revert`() {
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
