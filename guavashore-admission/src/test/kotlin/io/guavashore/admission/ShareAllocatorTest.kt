package io.guavashore.admission

import io.guavashore.api.VmId
import org.junit.jupiter.api.Nested
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class ShareAllocatorTest {
    private val slots = ResourceId.of("slots/engine-1")
    private val entries = (1..4).map { VmId("vm-$it") }
    private val total = 40L
    private val limits = ShareLimits(totals = mapOf(slots to total), entries = entries)

    /** Entries that report to an allocator and use what they are entitled to. */
    private inner class Entries(
        val allocator: ShareAllocator = ShareAllocator(startedAtMs = 0),
    ) {
        val held = entries.associateWith { HeldShares(it) }
        val wanted = entries.associateWith { 0L }.toMutableMap()
        var nowMs = 20_000L

        fun entitlement(vm: VmId) = held.getValue(vm).entitlement(slots, total, entries, nowMs)

        fun report(
            vm: VmId,
            to: ShareAllocator = allocator,
            answerLost: Boolean = false,
            inUse: Long = 0,
        ) {
            val demand = Demand(wanted.getValue(vm), inUse = inUse, held = entitlement(vm))
            val shares = to.report(vm, mapOf(slots to demand), limits, nowMs)
            if (!answerLost) held.getValue(vm).accept(shares, sentAtMs = nowMs)
        }

        fun rounds(
            count: Int,
            reporting: List<VmId> = entries,
        ) = repeat(count) {
            nowMs += 500
            reporting.forEach { report(it) }
        }

        fun sum() = entries.sumOf(::entitlement)
    }

    @Nested
    inner class `a busy entry` {
        @Test
        fun `gets what the idle ones do not want, within a few reports`() {
            val all = Entries()
            all.rounds(2)
            all.wanted[entries[0]] = 100
            all.rounds(4)
            assertEquals(listOf(40L, 0L, 0L, 0L), entries.map(all::entitlement))
        }

        @Test
        fun `gives way to a second one, and neither passes the total meanwhile`() {
            val all = Entries()
            all.wanted[entries[0]] = 100
            all.rounds(4)
            all.wanted[entries[1]] = 100
            repeat(6) {
                all.rounds(1)
                assertTrue(all.sum() <= total)
            }
            assertEquals(listOf(20L, 20L, 0L, 0L), entries.map(all::entitlement))
        }
    }

    @Nested
    inner class `an entry that is cut off` {
        @Test
        fun `falls back to its equal part, which is set aside for it by then`() {
            val all = Entries()
            all.wanted[entries[0]] = 100
            all.rounds(4)
            repeat(30) {
                all.rounds(1, reporting = entries.take(3))
                assertTrue(all.sum() <= total, "sum ${all.sum()} at ${all.nowMs}")
            }
            assertEquals(listOf(30L, 0L, 0L, 10L), entries.map(all::entitlement))
        }
    }

    @Test
    fun `without any allocator the entries divide all of it evenly`() {
        assertEquals(listOf(10L, 10L, 10L, 10L), entries.map(Entries()::entitlement))
    }

    /** Entries that are cut off, answers that are lost, and allocators that succeed one another. */
    @Test
    fun `what the entries are entitled to never passes the total on random schedules`() {
        repeat(500) { seed -> runSchedule(seed) }
    }

    private fun runSchedule(seed: Int) {
        val random = Random(seed)
        val all = Entries()
        var allocator = ShareAllocator(startedAtMs = 0)
        val cutUntilMs = HashMap<VmId, Long>()
        repeat(400) {
            all.nowMs += random.nextLong(1, 200)
            val vm = entries.random(random)
            if (random.nextInt(150) == 0) allocator = ShareAllocator(startedAtMs = all.nowMs)
            if (random.nextInt(40) == 0) cutUntilMs[vm] = all.nowMs + random.nextLong(30_000)
            if (random.nextInt(10) == 0) all.wanted[vm] = random.nextLong(0, 60)
            if (all.nowMs >= (cutUntilMs[vm] ?: 0)) {
                val inUse = random.nextLong(0, all.entitlement(vm) + 1)
                all.report(vm, to = allocator, answerLost = random.nextInt(8) == 0, inUse = inUse)
            }
            assertTrue(all.sum() <= total, "seed $seed: ${entries.map(all::entitlement)} at ${all.nowMs}")
        }
    }
}
