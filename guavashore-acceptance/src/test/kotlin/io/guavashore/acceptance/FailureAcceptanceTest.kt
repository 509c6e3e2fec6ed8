package io.guavashore.acceptance

import io.guavashore.api.TargetId
import io.guavashore.api.TargetKind
import io.guavashore.api.ZoneId
import io.guavashore.standin.POISON_TOKEN
import io.guavashore.standin.StandinPlainService
import io.guavashore.testing.StoreFault
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.TestInstance
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class FailureAcceptanceTest {
    private lateinit var system: TestSystem

    @BeforeAll
    fun start() {
        system = TestSystem()
        system.applyAndWait()
    }

    @AfterAll
    fun stop() = system.close()

    private fun assertFencingNumbersNeverDecrease() {
        val fencingNumbers =
            system.fleet.receivedOrders
                .toList()
                .filter { it.zone == "az-1" }
                .map { it.fencingNumber }
        assertEquals(
            fencingNumbers.sorted(),
            fencingNumbers,
            "an order of a superseded lease holder came after a newer one",
        )
    }

    @Test
    fun `an order whose target crashes runs once and its caller receives outcome_unknown`() {
        val response = system.order(system.vms[0], "${StandinPlainService.CRASH_ORDER_PREFIX}-1")
        assertEquals(502, response.statusCode(), response.body())
        assertTrue(
            """"kind":"outcome_unknown"""" in response.body() && """"not_run":false""" in response.body(),
            response.body(),
        )
        assertEquals(1, system.fleet.orderRunCounter.counts()["${StandinPlainService.CRASH_ORDER_PREFIX}-1"])
        await("replacement of the crashed service", 30_000) { system.order(system.vms[0], "after").statusCode() == 200 }
    }

    @Test
    fun `an order repeated with its idempotency key runs once through any entry and is refused in a store outage`() {
        val key = "Idempotency-Key" to "order-key-1"
        val path = "/v1/demo/orders/call/order"
        val responses = List(4) { system.post(system.vms[it % 2], path, "keyed-1", headers = mapOf(key)) }
        assertEquals(List(4) { "ordered keyed-1" }, responses.map { it.body() })
        assertEquals(1, system.fleet.orderRunCounter.counts()["keyed-1"])

        val crashOrder = "${StandinPlainService.CRASH_ORDER_PREFIX}-keyed"
        val crashKey = mapOf("Idempotency-Key" to "order-key-2")
        assertEquals(502, system.post(system.vms[0], path, crashOrder, headers = crashKey).statusCode())
        assertEquals(409, system.post(system.vms[1], path, crashOrder, headers = crashKey).statusCode())
        assertEquals(1, system.fleet.orderRunCounter.counts()[crashOrder])

        await("replacement of the crashed service", 30_000) { system.order(system.vms[0], "after").statusCode() == 200 }
        system.platform.objectStore.fault = StoreFault.DOWN
        try {
            val refused =
                system.post(
                    system.vms[0],
                    path,
                    "keyed-3",
                    headers = mapOf("Idempotency-Key" to "order-key-3"),
                )
            assertTrue(refused.statusCode() == 503 && """"not_run":true""" in refused.body(), refused.body())
        } finally {
            system.platform.objectStore.fault = StoreFault.NONE
        }
        assertEquals(null, system.fleet.orderRunCounter.counts()["keyed-3"])
    }

    @Test
    fun `a poison request, sent through several entries, crashes at most two targets`() {
        await("two running engines", 30_000) { system.fleet.engines().count { it.isUp } >= 2 }
        val enginesBefore = system.fleet.engines().toSet()
        repeat(6) { round ->
            val vm = system.vms[round % system.vms.size]
            val response = system.generate(vm, 5, prompt = listOf(POISON_TOKEN, 7))
            if (round >= 2) assertEquals(422, response.statusCode(), response.body())
            Thread.sleep(1_000)
        }
        val crashed =
            enginesBefore.count { !it.isUp } +
                system.fleet.engines().count { it !in enginesBefore && !it.isUp }
        assertTrue(crashed <= 2, "$crashed targets crashed")
        await("calls without the poison token", 30_000) { system.generate(system.vms[0], 5).statusCode() == 200 }
    }

    @Test
    fun `a drained target is stopped only after its streams have completed`() {
        await("two running engines", 30_000) { system.fleet.engines().count { it.isUp } >= 2 }
        val streams = List(8) { system.stream(system.vms[it % 2], tokens = 1_500, prompt = listOf(it + 1)) }
        await("first line of every stream", 10_000) { streams.all { it.lines.isNotEmpty() } }
        val busiest = system.fleet.engines().maxBy { it.state().running }
        system.apply { it.copy(drainedTargets = it.drainedTargets + TargetId(busiest.id.value)) }
        Thread.sleep(3_000)
        val runningBefore = busiest.state().running
        repeat(20) { system.generate(system.vms[it % 2], 1) }
        assertTrue(busiest.state().running <= runningBefore, "a draining target received new requests")
        await({
            "complete streams: ${streams.map { "${it.lines.size} ${it.isEnded} ${it.lines.last()}" }}"
        }, 60_000) { streams.all { it.isComplete } }
        await("stop of the drained target", 20_000) { !busiest.isUp }
    }

    @Test
    fun `reclaimed cheap targets are replaced by regular targets and their streams continue on other targets`() {
        await("two running engines", 30_000) { system.fleet.engines().count { it.isUp } >= 2 }
        val streams = List(4) { system.stream(system.vms[it % 2], tokens = 1_500, prompt = listOf(it + 1)) }
        await("first line of every stream", 10_000) { streams.all { it.lines.isNotEmpty() } }
        system.fleet.cheapUnavailable = true
        try {
            val reclaimed = system.fleet.reclaim(ZoneId("az-1"), noticeMs = 5_000)
            assertTrue(reclaimed >= 2, "only $reclaimed cheap targets were reclaimed")
            await("two regular engines", 20_000) {
                system.fleet.list(ZoneId("az-1")).count {
                    !it.cheap &&
                        it.kind == TargetKind.MODEL
                } >=
                    2
            }
            await({
                "complete streams: ${streams.map { "${it.lines.size} ${it.lines.last()}" }}"
            }, 60_000) { streams.all { it.isComplete } }
        } finally {
            system.fleet.cheapUnavailable = false
        }
    }

    @Test
    fun `an entry that receives SIGTERM finishes its streams before it exits`() {
        val vm = system.vms[1]
        val stream = system.stream(vm, tokens = 800)
        await("first line of the stream", 10_000) { stream.lines.isNotEmpty() }
        system.signal("entry", vm, "TERM")
        await({
            "complete stream: lines=${stream.lines.size} ended=${stream.isEnded} last=${stream.lines.last()}"
        }, 30_000) { stream.isComplete }
        assertTrue(system.exited("entry", vm, withinS = 10))
        system.startEntry(vm)
        await("call through the restarted entry", 30_000) { system.generate(vm, 1).statusCode() == 200 }
    }

    @Test
    fun `calls succeed in a store outage longer than a lease, also through an entry started in the outage`() {
        val ordersBefore = system.fleet.receivedOrders.size
        system.platform.objectStore.fault = StoreFault.DOWN
        try {
            val vm = system.vms[1]
            system.signal("entry", vm, "KILL")
            system.exited("entry", vm, withinS = 10)
            system.startEntry(vm)
            await("call through the new entry", 30_000) { system.generate(vm, 1).statusCode() == 200 }
            val deadlineMs = System.currentTimeMillis() + 15_000
            while (System.currentTimeMillis() < deadlineMs) {
                system.vms.forEach { assertEquals(200, system.generate(it, 3).statusCode()) }
                Thread.sleep(200)
            }
            assertTrue(system.fleet.receivedOrders.size - ordersBefore <= 1, "target orders were sent without a lease")
        } finally {
            system.platform.objectStore.fault = StoreFault.NONE
        }
        val revision = system.apply()
        system.vms.forEach { vm ->
            await("revision $revision on ${vm.name}", 15_000) { """"inForce":$revision""" in system.status(vm) }
        }
    }

    @Test
    fun `a frozen lease holder is replaced and sends no orders after its successor has sent one`() {
        val holder = system.vms.first { """"zoneLease":null""" !in system.status(it) }
        val other = system.vms.first { it != holder }
        system.signal("steward", holder, "STOP")
        try {
            await("a new lease holder", 40_000) { """"zoneLease":null""" !in system.status(other) }
            system.fleet.crash(
                system.fleet
                    .engines()
                    .first { it.isUp }
                    .id,
            )
            await("an order of the new lease holder", 20_000) {
                system.fleet.receivedOrders
                    .last()
                    .fencingNumber > 1
            }
        } finally {
            system.signal("steward", holder, "CONT")
        }
        Thread.sleep(3_000)
        assertFencingNumbersNeverDecrease()
        system.vms.forEach { vm ->
            await("calls through ${vm.name}", 20_000) { system.generate(vm, 1).statusCode() == 200 }
        }
    }
}
