package io.guavashore.edge.loads

import io.guavashore.api.Endpoint
import io.guavashore.api.ServiceId
import io.guavashore.api.TargetId
import io.guavashore.api.ZoneId
import io.guavashore.edge.declared.SoftwareVersion
import io.guavashore.edge.declared.TargetEntry
import io.guavashore.edge.forward.TargetLoads
import io.guavashore.edge.targets.ReportedLoad
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue

class SharedLoadsTest {
    private val zones = listOf("a", "b", "c").map(::ZoneId)

    private fun target(
        number: Int,
        zone: ZoneId = zones[number],
        bornAtMs: Long = 1,
    ) = TargetEntry(
        id = TargetId("t$number"),
        service = ServiceId("desk"),
        endpoint = Endpoint("10.0.0.$number", 80),
        zone = zone,
        slots = 6,
        isLeaving = false,
        software = SoftwareVersion("1"),
        bornAtMs = bornAtMs,
    )

    private val targets = List(3) { target(it) }

    private fun report(
        running: Int = 0,
        slowdown: Double = 1.0,
        waiting: Int = 0,
    ) = ReportedLoad(running, waiting, slots = 6, slowdown = slowdown)

    private fun TargetLoads.of(
        target: TargetEntry,
        nowMs: Long,
    ) = expected(targets, nowMs).single { it.target.id == target.id }

    /** 60 VMs send 12 requests of [WORK_MS] each second to three targets of six slots, and share reports. */
    private inner class Replay(
        seed: Int,
        private val targets: List<TargetEntry>,
        private val newsDelayMs: Long = 100,
        private val slowdown: (TargetEntry, Long) -> Double = { _, _ -> 1.0 },
    ) {
        private val random = Random(seed)
        private val vms = List(60) { TargetLoads(Random(random.nextInt())) }
        private val endsAt = HashMap<Pair<Int, TargetEntry>, ArrayDeque<Long>>()
        private val news = ArrayDeque<Pair<Long, List<LoadNews>>>()
        val sentAt = targets.associateWith { ArrayList<Long>() }

        fun run(durationMs: Long) = (0 until durationMs).forEach(::step)

        private fun step(nowMs: Long) {
            endsAt.forEach { (key, ends) ->
                while (ends.firstOrNull()?.let { it <= nowMs } == true) complete(key.first, key.second, ends, nowMs)
            }
            while (news.firstOrNull()?.let { it.first <= nowMs } == true) {
                val (_, told) = news.removeFirst()
                vms.forEach { it.onNews(told, nowMs) }
            }
            if (random.nextDouble() >= REQUESTS_PER_MS) return
            val vm = random.nextInt(vms.size)
            val target = checkNotNull(vms[vm].pick(targets, zones[vm % zones.size], nowMs))
            sentAt.getValue(target) += nowMs
            vms[vm].begin(target.id)
            val ends = endsAt.getOrPut(vm to target) { ArrayDeque() }
            ends += maxOf(ends.lastOrNull() ?: 0, nowMs + (WORK_MS * slowdown(target, nowMs)).toLong())
        }

        private fun complete(
            vm: Int,
            target: TargetEntry,
            ends: ArrayDeque<Long>,
            nowMs: Long,
        ) {
            ends.removeFirst()
            val running = endsAt.filterKeys { it.second == target }.values.sumOf { it.size }
            vms[vm].recordLoad(target, report(running, slowdown(target, nowMs)), nowMs)
            vms[vm].end(target.id)
            news += nowMs + newsDelayMs to vms[vm].news(nowMs + newsDelayMs) { true }
        }

        fun share(
            target: TargetEntry,
            window: LongRange,
        ): Double =
            sentAt.getValue(target).count { it in window } /
                sentAt.values.sumOf { s -> s.count { it in window } }.toDouble()
    }

    @Test
    fun `60 VMs that share one view send no herd, with a target in each zone and with all in one`() {
        listOf(targets, List(3) { target(it, zone = ZoneId("d")) }).forEach { equal ->
            val replay = Replay(seed = 7, targets = equal, newsDelayMs = 0).apply { run(120_000) }
            (0 until 120_000L step 20_000).forEach { begin ->
                val busiest = equal.maxOf { replay.share(it, begin until begin + 20_000) }
                assertTrue(busiest <= 1.5 / 3, "share $busiest of the requests from $begin ms")
            }
        }
    }

    @Test
    fun `work leaves a target that is five times slower for 600 ms, and comes back`() {
        val replay =
            Replay(seed = 3, targets = targets) { target, nowMs ->
                if (target == targets[0] && nowMs % 5_000 in 1_000 until 1_600) 5.0 else 1.0
            }.apply { run(200_000) }
        val sent = replay.sentAt

        fun inPhase(phase: IntRange) = sent.mapValues { (_, at) -> at.count { (it % 5_000).toInt() in phase } }

        fun share(phase: IntRange) = inPhase(phase).let { it.getValue(targets[0]) / it.values.sum().toDouble() }
        val during = share(1_350 until 1_600)
        val after = share(2_600 until 5_000)
        assertTrue(during < 0.2, "share of the slow target: $during")
        assertTrue(after > 0.25, "share after it: $after")
    }

    @Test
    fun `old bad news and old good news fade to the mean of the service, then to what is usual`() {
        val loads = TargetLoads()
        loads.recordLoad(targets[0], report(running = 6, slowdown = 5.0, waiting = 6), nowMs = 0)
        assertEquals(5.0, loads.of(targets[0], 0).slowdown)
        assertTrue(loads.of(targets[0], 100).slowdown > 3)
        assertTrue(loads.of(targets[0], 3_000).completion < 1.01)
        loads.recordLoad(targets[1], report(slowdown = 1.0), nowMs = 3_000)
        loads.recordLoad(targets[0], report(slowdown = 4.0), nowMs = 4_000)
        loads.recordLoad(targets[2], report(slowdown = 4.0), nowMs = 4_000)
        assertTrue(loads.of(targets[1], 4_000).slowdown > 3, "good news of 1 s beside bad news of now")
    }

    @Test
    fun `a report ends with the process that sent it, and own requests count exactly`() {
        val loads = TargetLoads()
        repeat(2) { loads.begin(targets[0].id) }
        loads.recordLoad(targets[0], report(running = 5, slowdown = 3.0), nowMs = 0)
        assertEquals(5.0, loads.of(targets[0], 0).requests)
        loads.end(targets[0].id)
        assertEquals(4.0, loads.of(targets[0], 0).requests)
        val restarted = target(0, bornAtMs = 2)
        assertNull(loads.expected(listOf(restarted), 0).single().ageMs)
        loads.recordLoad(restarted, report(slowdown = 1.0), nowMs = 5)
        loads.onNews(listOf(LoadNews(targets[0].id, 6, 6, 6, 9.0, ageMs = 0, bornAtMs = 1)), nowMs = 6)
        assertEquals(1.0, loads.expected(listOf(restarted), 6).single().slowdown)
    }

    @Test
    fun `news is bounded, direct, recent and only of targets that state their speed`() {
        val loads = TargetLoads()
        (0 until 20).forEach { loads.recordLoad(target(it, zones[0]), report(), nowMs = it * 10L) }
        loads.recordLoad(target(30, zones[0]), ReportedLoad(1, 0, 6), nowMs = 200)
        val news = loads.news(nowMs = 200) { it != TargetId("t19") }
        assertEquals((18 downTo 7).map { TargetId("t$it") }, news.map { it.target })
        assertTrue(loads.news(nowMs = 1_000) { true }.isEmpty(), "old")
        val peer = TargetLoads().apply { onNews(news, nowMs = 5) }
        assertTrue(peer.news(nowMs = 5) { true }.isEmpty(), "not from the target")
    }

    @Test
    fun `targets have no room only if each refused with all slots taken and none can have freed one since`() {
        val loads = TargetLoads()

        fun refuse(target: TargetEntry) =
            loads.recordLoad(target, report(running = 6, slowdown = 4.0), nowMs = 100, isRefusal = true)
        targets.take(2).forEach(::refuse)
        assertFalse(loads.haveNoRoom(targets, serviceMs = 30.0, nowMs = 100), "nothing known of the third")
        loads.recordLoad(targets[2], report(running = 6, slowdown = 4.0), nowMs = 100)
        assertFalse(loads.haveNoRoom(targets, serviceMs = 30.0, nowMs = 100), "the third has served a request")
        refuse(targets[2])
        assertTrue(loads.haveNoRoom(targets, serviceMs = 30.0, nowMs = 119))
        assertFalse(loads.haveNoRoom(targets, serviceMs = 30.0, nowMs = 120), "a slot is free")
        assertFalse(loads.haveNoRoom(listOf(target(0, bornAtMs = 2)), serviceMs = 30.0, nowMs = 100), "new process")
    }

    @Test
    fun `targets that do not state their speed are ordered as before`() {
        val loads = TargetLoads()
        loads.recordLoad(targets[0], ReportedLoad(4, 0, 6), nowMs = 0)
        assertEquals(targets[1], loads.pick(targets, zones[0], nowMs = 60_000))
        loads.recordLoad(targets[0], ReportedLoad(2, 0, 6), nowMs = 60_000)
        assertEquals(targets[0], loads.pick(targets, zones[0], nowMs = 60_000))
    }

    @Test
    fun `in 10,000 schedules with lost and late reports none is used for another process or after its time`() {
        repeat(10_000) { seed ->
            val random = Random(seed)
            val sender = TargetLoads(random)
            val receiver = TargetLoads(random)
            var nowMs = 0L
            var bornAtMs = 1L
            var lastReportMs = 0L
            val onTheWay = ArrayList<List<LoadNews>>()
            repeat(12) {
                nowMs += random.nextLong(300)
                if (random.nextInt(4) == 0) bornAtMs++
                val target = target(0, bornAtMs = bornAtMs)
                if (random.nextBoolean()) {
                    // Each process has its own speed, by which its reports are told apart.
                    sender.recordLoad(target, report(slowdown = bornAtMs + 1.0), nowMs)
                }
                onTheWay += sender.news(nowMs) { true }
                val arrived =
                    if (random.nextBoolean()) {
                        onTheWay.removeAt(
                            random.nextInt(onTheWay.size),
                        )
                    } else {
                        emptyList()
                    }
                if (arrived.isNotEmpty()) lastReportMs = nowMs
                receiver.onNews(arrived, nowMs)
                val expected = receiver.expected(listOf(target), nowMs).single()
                assertTrue(expected.slowdown in 1.0..bornAtMs + 1.0, "seed=$seed $expected")
                if (expected.ageMs == null) assertEquals(1.0, expected.slowdown, "seed=$seed another process")
                val later = receiver.expected(listOf(target), lastReportMs + 4_000).single()
                assertTrue(later.slowdown < 1.05, "seed=$seed $later")
            }
        }
    }

    private companion object {
        const val WORK_MS = 30L
        const val REQUESTS_PER_MS = 0.012
    }
}
