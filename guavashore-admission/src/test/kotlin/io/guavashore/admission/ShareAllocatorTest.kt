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

    /** Entry nodes that report to an allocator and hold the shares it grants. */
    private inner class Entries(
        val allocator: ShareAllocator = ShareAllocator(startedAtMs = 0),
    ) {
        val held = entries.associateWith { HeldShares(it) }
        val desired = entries.associateWith { 0L }.toMutableMap()
        var nowMs = 20_000L

        fun entitlement(vm: VmId) = held.getValue(vm).entitlement(slots, total, entries, nowMs)

        fun report(
            vm: VmId,
            to: ShareAllocator = allocator,
            responseLost: Boolean = false,
            inUse: Long = 0,
        ) {
            val demand = Demand(desired.getValue(vm), inUse = inUse, held = entitlement(vm))
            val shares = to.report(vm, mapOf(slots to demand), limits, nowMs)
            if (!responseLost) held.getValue(vm).accept(shares, sentAtMs = nowMs)
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
    inner class `busy entry nodes` {
        @Test
        fun `a busy entry node gets the shares that idle nodes do not need within a few reports`() {
            val all = Entries()
            all.rounds(2)
            all.desired[entries[0]] = 100
            all.rounds(4)
            assertEquals(listOf(40L, 0L, 0L, 0L), entries.map(all::entitlement))
        }

        @Test
        fun `a second busy entry node gets an equal share, and the sum never exceeds the total meanwhile`() {
            val all = Entries()
            all.desired[entries[0]] = 100
            all.rounds(4)
            all.desired[entries[1]] = 100
            repeat(6) {
                all.rounds(1)
                assertTrue(all.sum() <= total)
            }
            assertEquals(listOf(20L, 20L, 0L, 0L), entries.map(all::entitlement))
        }
    }

    @Nested
    inner class `a partitioned entry node` {
        @Test
        fun `a partitioned entry node falls back to its equal share, which is reserved for it by then`() {
            val all = Entries()
            all.desired[entries[0]] = 100
            all.rounds(4)
            repeat(30) {
                all.rounds(1, reporting = entries.take(3))
                assertTrue(all.sum() <= total, "sum ${all.sum()} at ${all.nowMs}")
            }
            assertEquals(listOf(30L, 0L, 0L, 10L), entries.map(all::entitlement))
        }
    }

    @Test
    fun `without an allocator the entry nodes divide the total evenly`() {
        assertEquals(listOf(10L, 10L, 10L, 10L), entries.map(Entries()::entitlement))
    }

    /** Combines partitioned entry nodes, lost responses and allocators that replace one another. */
    @Test
    fun `the sum of all entitlements never exceeds the total on random schedules`() {
        repeat(500) { seed -> runSchedule(seed) }
    }

    private fun runSchedule(seed: Int) {
        val random = Random(seed)
        val all = Entries()
        var allocator = ShareAllocator(startedAtMs = 0)
        val partitionedUntilMs = HashMap<VmId, Long>()
        repeat(400) {
            all.nowMs += random.nextLong(1, 200)
            val vm = entries.random(random)
            if (random.nextInt(150) == 0) allocator = ShareAllocator(startedAtMs = all.nowMs)
            if (random.nextInt(40) == 0) partitionedUntilMs[vm] = all.nowMs + random.nextLong(30_000)
            if (random.nextInt(10) == 0) all.desired[vm] = random.nextLong(0, 60)
            if (all.nowMs >= (partitionedUntilMs[vm] ?: 0)) {
                val inUse = random.nextLong(0, all.entitlement(vm) + 1)
                all.report(vm, to = allocator, responseLost = random.nextInt(8) == 0, inUse = inUse)
            }
            assertTrue(all.sum() <= total, "seed $seed: ${entries.map(all::entitlement)} at ${all.nowMs}")
        }
    }
}
