package io.guavashore.admission

import io.guavashore.api.VmId
import org.junit.jupiter.api.Nested
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class ShareAllocatorTest {
    private val slots = ResourceId("slots/engine-1")
    private val entries = (1..4).map { VmId("vm-$it") }
    private val limits = ShareLimits(totals = mapOf(slots to 40L), entries = entries)

    private fun ShareAllocator.ask(
        vm: VmId,
        wanted: Long,
        nowMs: Long,
        inUse: Long = 0,
        held: Long = 0,
    ) = report(vm, mapOf(slots to Demand(wanted, inUse, held)), limits, nowMs).getValue(slots).amount

    @Nested
    inner class `a settled allocator` {
        private val allocator = ShareAllocator(startedAtMs = 0)

        @Test
        fun `gives one busy entry all that is not floor`() {
            assertEquals(30, allocator.ask(entries[0], wanted = 100, nowMs = 10_000))
        }

        @Test
        fun `moves shares to a second busy entry only as the first gives them up`() {
            allocator.ask(entries[0], wanted = 100, nowMs = 10_000)
            assertEquals(0, allocator.ask(entries[1], wanted = 100, nowMs = 10_100))
            assertEquals(15, allocator.ask(entries[0], wanted = 100, nowMs = 11_000, inUse = 30, held = 30))
            assertEquals(0, allocator.ask(entries[1], wanted = 100, nowMs = 11_100), "the first still uses 30")
            allocator.ask(entries[0], wanted = 100, nowMs = 12_000, inUse = 15, held = 15)
            assertEquals(15, allocator.ask(entries[1], wanted = 100, nowMs = 12_100))
        }

        @Test
        fun `hands on the share of a silent entry only after its term and margin`() {
            allocator.ask(entries[0], wanted = 100, nowMs = 10_000)
            assertEquals(0, allocator.ask(entries[1], wanted = 100, nowMs = 16_999))
            assertEquals(30, allocator.ask(entries[1], wanted = 100, nowMs = 17_000))
        }
    }

    @Nested
    inner class `a new allocator` {
        @Test
        fun `renews only what is held until its predecessor's shares have lapsed`() {
            val allocator = ShareAllocator(startedAtMs = 0)
            assertEquals(12, allocator.ask(entries[0], wanted = 100, nowMs = 100, held = 12))
            assertEquals(0, allocator.ask(entries[1], wanted = 100, nowMs = 6_999))
            assertEquals(15, allocator.ask(entries[1], wanted = 100, nowMs = 7_000))
        }
    }

    @Nested
    inner class `the floor` {
        @Test
        fun `is divided wholly and only among listed entries`() {
            val floors = entries.map { ShareAllocator.floorShare(it, slots, total = 40, entries = entries) }
            assertEquals(10, floors.sum())
            assertEquals(0, ShareAllocator.floorShare(VmId("other"), slots, total = 40, entries = entries))
        }
    }

    /** Entries, each with its own view of its term, some cut off, and allocators that succeed one another. */
    @Test
    fun `the sum of usable shares and floors never passes the total on random schedules`() {
        repeat(300) { seed -> runSchedule(seed) }
    }

    private fun runSchedule(seed: Int) {
        val random = Random(seed)
        var nowMs = 100_000L
        var allocator = ShareAllocator(startedAtMs = 0)
        val held = HashMap<VmId, Pair<Long, Long>>()
        val inUse = HashMap<VmId, Long>()
        repeat(200) {
            nowMs += random.nextLong(1, 900)
            val vm = entries.random(random)
            if (random.nextInt(60) == 0) allocator = ShareAllocator(startedAtMs = nowMs)
            val current = held[vm]?.takeIf { it.second > nowMs }?.first ?: 0
            if (random.nextInt(5) != 0) {
                val demand = Demand(wanted = random.nextLong(0, 60), inUse = inUse[vm] ?: 0, held = current)
                val share = allocator.report(vm, mapOf(slots to demand), limits, nowMs).getValue(slots)
                val answerLost = random.nextInt(8) == 0
                if (!answerLost) held[vm] = share.amount to nowMs + share.termMs
            }
            val usable = held[vm]?.takeIf { it.second > nowMs }?.first ?: 0
            inUse[vm] = random.nextLong(0, usable + 1)
            val sum = entries.sumOf { e -> held[e]?.takeIf { it.second > nowMs }?.first ?: 0 }
            assertTrue(sum + ShareAllocator.floorTotal(40) <= 40, "seed $seed: shares of $sum at $nowMs")
        }
    }
}
