package io.guavashore.acceptance

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.guavashore.api.Endpoint
import io.guavashore.api.FencingNumber
import io.guavashore.api.PoolId
import io.guavashore.api.TargetId
import io.guavashore.api.TargetKind
import io.guavashore.api.TeamId
import io.guavashore.api.VmId
import io.guavashore.api.WeightVersion
import io.guavashore.api.ZoneId
import io.guavashore.platform.HttpPlatform
import io.guavashore.platform.MAX_VALUE_BYTES
import io.guavashore.platform.ObjectPath
import io.guavashore.platform.ObjectStore
import io.guavashore.platform.ObjectVersion
import io.guavashore.platform.PlatformError
import io.guavashore.platform.StartOrder
import io.guavashore.platform.StopOrder
import io.guavashore.platform.StoreError
import io.guavashore.platform.UsageReport
import io.guavashore.platform.VmRow
import io.guavashore.platform.VmState
import io.guavashore.standin.StandinFleet
import io.guavashore.standin.StandinPlatform
import io.guavashore.testing.InMemoryStore
import io.guavashore.testing.StoreFault
import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

/** Contract tests of the platform interfaces: the HTTP adapter and, for the object store, also the in-memory fake. */
class PlatformContractTest {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val zone = ZoneId("az-1")
    private val vm = VmRow(VmId("vm-1"), zone, Endpoint("127.0.0.1", 7_000), VmState.LIVE)
    private val fleet = StandinFleet(scope)
    private val standin = StandinPlatform(0, fleet, listOf(vm)).apply { start() }
    private val client = HttpClient(CIO) { expectSuccess = false }
    private val platform = HttpPlatform(client, "http://127.0.0.1:${standin.port}", timeoutMs = 800).platform
    private val inMemoryStore = InMemoryStore()

    @AfterEach
    fun close() {
        client.close()
        standin.close()
        scope.cancel()
    }

    /** Runs [check] on each store implementation, together with the in-memory store that injects its faults. */
    private fun onEachStore(check: suspend (ObjectStore, InMemoryStore) -> Unit) =
        runBlocking<Unit> {
            check(platform.store, standin.objectStore)
            check(inMemoryStore.asStore, inMemoryStore)
        }

    @Nested
    inner class `the object store` {
        private val path = ObjectPath("heads/t")

        @Test
        fun `the object store writes only when the expected version matches`() =
            onEachStore { store, _ ->
                assertEquals(null, store.read(path).get())
                assertEquals(ObjectVersion(1), store.write(path, "a", ObjectVersion.ABSENT).get())
                assertIs<StoreError.Conflict>(store.write(path, "b", ObjectVersion.ABSENT).getError())
                assertEquals(ObjectVersion(2), store.write(path, "b", ObjectVersion(1)).get())
                assertEquals("b", store.read(path).get()?.value)
                assertEquals(listOf(path), store.list("heads/").get()?.map { it.path })
                assertEquals(emptyList(), store.list("other/").get())
                val tooLong = "x".repeat(MAX_VALUE_BYTES + 1)
                assertIs<StoreError.Refused>(store.write(ObjectPath("big"), tooLong, ObjectVersion.ABSENT).getError())
            }

        @Test
        fun `a watch of the object store returns a change, or nothing after the timeout`() =
            onEachStore { store, _ ->
                val first = store.watch("heads/", 0, 100).get()
                assertEquals(emptyList(), first?.objects)
                val pendingWatch = scope.async { store.watch("heads/", first?.cursor ?: 0, 10_000) }
                delay(100)
                store.write(path, "new", ObjectVersion.ABSENT)
                assertEquals(
                    listOf("new"),
                    pendingWatch
                        .await()
                        .get()
                        ?.objects
                        ?.map { it.value },
                )
            }

        @Test
        fun `the object store reports an outage or a lost response as unavailable`() =
            onEachStore { store, faults ->
                faults.fault = StoreFault.DOWN
                assertIs<StoreError.Unavailable>(store.read(path).getError())
                assertIs<StoreError.Unavailable>(store.write(path, "a", ObjectVersion.ABSENT).getError())
                faults.fault = StoreFault.ANSWER_LOST
                assertIs<StoreError.Unavailable>(store.write(path, "a", ObjectVersion.ABSENT).getError())
                faults.fault = StoreFault.NONE
                assertEquals("a", store.read(path).get()?.value, "the write with the lost response took effect")
            }

        @Test
        fun `a store that responds after the timeout is reported as unavailable`() =
            runBlocking<Unit> {
                standin.objectStore.slowMs = 3_000
                standin.objectStore.fault = StoreFault.SLOW
                assertIs<StoreError.Unavailable>(platform.store.read(path).getError())
            }
    }

    @Nested
    inner class `target orders` {
        private fun order(
            id: String,
            fencing: Long,
            cheap: Boolean = true,
        ) = StartOrder(id, TeamId("t"), PoolId("p"), TargetKind.PLAIN, cheap, FencingNumber(fencing))

        @Test
        fun `a repeated start order starts one target, which is listed until a stop order stops it`() =
            runBlocking<Unit> {
                val first = platform.orders.start(zone, order("o1", fencing = 1)).get()
                assertEquals(
                    first?.id,
                    platform.orders
                        .start(zone, order("o1", fencing = 1))
                        .get()
                        ?.id,
                )
                assertEquals(
                    listOf("o1"),
                    platform.orders
                        .list(zone)
                        .get()
                        ?.map { it.orderId },
                )
                platform.orders.stop(zone, StopOrder("o2", first?.id ?: TargetId(""), FencingNumber(1)))
                assertEquals(emptyList(), platform.orders.list(zone).get())
            }

        @Test
        fun `target orders are rejected with an old fencing number, and when no cheap target is available`() =
            runBlocking<Unit> {
                platform.orders.start(zone, order("o1", fencing = 5))
                assertEquals(PlatformError.Fenced, platform.orders.start(zone, order("o2", fencing = 4)).getError())
                val oldStop = StopOrder("o3", TargetId("x"), FencingNumber(4))
                assertEquals(PlatformError.Fenced, platform.orders.stop(zone, oldStop).getError())
                fleet.cheapUnavailable = true
                assertEquals(
                    PlatformError.NoneAvailable,
                    platform.orders.start(zone, order("o4", fencing = 5)).getError(),
                )
                assertTrue(platform.orders.start(zone, order("o5", fencing = 5, cheap = false)).isOk)
            }
    }

    @Test
    fun `usage intake, VM list and weight store respond, and are reported unavailable after shutdown`() =
        runBlocking<Unit> {
            val report = UsageReport(TeamId("t"), 0, 60_000, FencingNumber(1), emptyList())
            assertTrue(platform.sendUsage(report).isOk)
            assertEquals(listOf(report), standin.observations().usage)
            assertEquals(listOf(vm), platform.listVms().get())
            assertEquals(null, platform.latestWeights(TeamId("t"), PoolId("p")).get())
            standin.publishWeights("t/p", 7)
            assertEquals(WeightVersion(7), platform.latestWeights(TeamId("t"), PoolId("p")).get())
            standin.close()
            assertIs<PlatformError.Unavailable>(platform.sendUsage(report).getError())
            assertIs<PlatformError.Unavailable>(platform.listVms().getError())
        }
}
