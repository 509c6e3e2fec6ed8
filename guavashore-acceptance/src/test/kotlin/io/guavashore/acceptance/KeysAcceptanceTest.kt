package io.guavashore.acceptance

import io.guavashore.api.KeyDeclaration
import io.guavashore.api.KeyId
import io.guavashore.api.OrganisationId
import io.guavashore.keys.CallerKey
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.TestInstance
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class KeysAcceptanceTest {
    private lateinit var system: TestSystem

    @BeforeAll
    fun start() {
        system = TestSystem()
        system.applyAndWait()
    }

    @AfterAll
    fun stop() = system.close()

    private fun addKey(id: String): String {
        val key = CallerKey.generate(KeyId(id))
        system.apply { it.copy(keys = it.keys + KeyDeclaration(KeyId(id), OrganisationId("app"), key.secretSha256)) }
        system.vms.forEach { vm ->
            await("key $id on ${vm.name}", 5_000) {
                system.generate(vm, 1, key = key.text).statusCode() ==
                    200
            }
        }
        return key.text
    }

    private fun withdrawKey(id: String) =
        system.apply { declaration ->
            declaration.copy(keys = declaration.keys.map { if (it.id.value == id) it.copy(withdrawn = true) else it })
        }

    @Test
    fun `a withdrawn key's streams and calls end on all VMs within 3 s, those of other keys continue`() {
        val key = addKey("short-lived")
        val withdrawnStreams = system.vms.map { system.stream(it, tokens = 4_000, key = key) }
        val otherStream = system.stream(system.vms[0], tokens = 400)
        await("lines on all streams", 10_000) {
            withdrawnStreams.all { it.lines.size > 5 } && otherStream.lines.isNotEmpty()
        }

        withdrawKey("short-lived")
        await("end of the streams", 3_000) { withdrawnStreams.all { it.isEnded } }
        withdrawnStreams.forEach {
            assertFalse(it.isComplete)
            assertTrue("key_withdrawn" in it.lines.last(), it.lines.last())
        }
        system.vms.forEach { assertEquals(401, system.generate(it, 1, key = key).statusCode()) }
        await("complete stream of the other key", 20_000) { otherStream.isComplete }
    }

    @Test
    fun `a key withdrawal reaches an entry whose local steward is frozen`() {
        val key = addKey("frozen-steward")
        val stream = system.stream(system.vms[0], tokens = 4_000, key = key)
        await("lines on the stream", 10_000) { stream.lines.size > 5 }
        system.signal("steward", system.vms[0], "STOP")
        try {
            Thread.sleep(2_500)
            withdrawKey("frozen-steward")
            await("end of the stream", 3_000) { stream.isEnded }
        } finally {
            system.signal("steward", system.vms[0], "CONT")
        }
    }

    @Test
    fun `a caller's key reaches neither a target nor a log, whether sent in header, body or query`() {
        val vm = system.vms[0]
        assertEquals(200, system.order(vm, "order-1").statusCode())
        assertEquals(400, system.order(vm, "my key is ${TestSystem.APP_KEY}").statusCode())
        assertEquals(
            400,
            system.post(vm, "/v1/demo/orders/call/order?key=${TestSystem.APP_KEY}", "order-2").statusCode(),
        )
        val requests = system.fleet.plainServices().flatMap { it.receivedRequests }
        assertTrue(requests.any { "order-1" in it })
        assertTrue(
            requests.none { "sample-secret-app" in it || "authorization" in it.lowercase() },
            "$requests",
        )
        assertFalse("sample-secret-app" in system.logOf("entry", vm))
    }

    @Test
    fun `a call without a valid key succeeds only on open services`() {
        val vm = system.vms[0]
        assertEquals(200, system.get(vm, "/v1/demo/price/call/price/a").statusCode())
        assertEquals(401, system.get(vm, "/v1/demo/orders/call/order").statusCode())
        assertEquals(401, system.generate(vm, 1, key = "gk_app_wrong-secret-1").statusCode())
    }
}
