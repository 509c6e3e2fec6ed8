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

    private fun grant(id: String): String {
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

    private fun withdraw(id: String) =
        system.apply { declaration ->
            declaration.copy(keys = declaration.keys.map { if (it.id.value == id) it.copy(withdrawn = true) else it })
        }

    @Test
    fun `a withdrawn key ends its streams and calls everywhere within 3 s, and no other key's`() {
        val key = grant("short-lived")
        val own = system.vms.map { system.stream(it, tokens = 4_000, key = key) }
        val other = system.stream(system.vms[0], tokens = 400)
        await("streams", 10_000) { own.all { it.lines.size > 5 } && other.lines.isNotEmpty() }

        withdraw("short-lived")
        await("end of the streams", 3_000) { own.all { it.isEnded } }
        own.forEach {
            assertFalse(it.isWhole)
            assertTrue("key_withdrawn" in it.lines.last(), it.lines.last())
        }
        system.vms.forEach { assertEquals(401, system.generate(it, 1, key = key).statusCode()) }
        await("the other key's stream", 20_000) { other.isWhole }
    }

    @Test
    fun `a withdrawal reaches an entry whose own steward is frozen`() {
        val key = grant("frozen-steward")
        val stream = system.stream(system.vms[0], tokens = 4_000, key = key)
        await("the stream", 10_000) { stream.lines.size > 5 }
        system.signal("steward", system.vms[0], "STOP")
        try {
            Thread.sleep(2_500)
            withdraw("frozen-steward")
            await("end of the stream", 3_000) { stream.isEnded }
        } finally {
            system.signal("steward", system.vms[0], "CONT")
        }
    }

    @Test
    fun `no key reaches a target, whatever way the caller sends it, nor a log`() {
        val vm = system.vms[0]
        assertEquals(200, system.order(vm, "order-1").statusCode())
        assertEquals(400, system.order(vm, "my key is ${TestSystem.APP_KEY}").statusCode())
        assertEquals(
            400,
            system.post(vm, "/v1/demo/orders/call/order?key=${TestSystem.APP_KEY}", "order-2").statusCode(),
        )
        val seen = system.fleet.plainServices().flatMap { it.seen }
        assertTrue(seen.any { "order-1" in it })
        assertTrue(seen.none { "sample-secret-app" in it || "authorization" in it.lowercase() }, "$seen")
        assertFalse("sample-secret-app" in system.logOf("entry", vm))
    }

    @Test
    fun `without a key only open routes run`() {
        val vm = system.vms[0]
        assertEquals(200, system.get(vm, "/v1/demo/price/call/price/a").statusCode())
        assertEquals(401, system.get(vm, "/v1/demo/orders/call/order").statusCode())
        assertEquals(401, system.generate(vm, 1, key = "gk_app_wrong-secret-1").statusCode())
    }
}
