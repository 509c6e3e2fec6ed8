package io.guavashore.targets

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.guavashore.api.Endpoint
import io.guavashore.api.Incarnation
import io.guavashore.api.TargetId
import io.guavashore.api.TargetKind
import io.guavashore.api.VmId
import io.guavashore.api.ZoneId
import io.guavashore.leases.IntentKind
import io.guavashore.leases.LeaseHolder
import io.guavashore.leases.LeaseManager
import io.guavashore.leases.LeaseStateMachine
import io.guavashore.leases.OrderIntent
import io.guavashore.platform.ObjectPath
import io.guavashore.platform.PlatformError
import io.guavashore.platform.PlatformStage
import io.guavashore.platform.PlatformTarget
import io.guavashore.platform.StartOrder
import io.guavashore.platform.TargetOrders
import io.guavashore.testing.InMemoryStore
import io.guavashore.testing.StoreFault
import io.guavashore.testing.VirtualClock
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull

class OrderSenderTest {
    private val clock = VirtualClock()
    private val memory = InMemoryStore()
    private val zone = ZoneId("a")
    private val started = mutableListOf<PlatformTarget>()
    private val sent = mutableListOf<StartOrder>()
    private var respond: suspend (PlatformTarget) -> Result<PlatformTarget, PlatformError> = { Ok(it) }

    private val orders =
        TargetOrders(
            list = { Ok(started.toList()) },
            start = { _, order ->
                sent += order
                val target =
                    PlatformTarget(
                        id = TargetId("t-${order.orderId}"),
                        team = order.team,
                        pool = order.pool,
                        kind = order.kind,
                        zone = zone,
                        endpoint = Endpoint("127.0.0.1", 1),
                        cheap = order.cheap,
                        stage = PlatformStage.RUNNING,
                        orderId = order.orderId,
                    )
                started += target
                respond(target)
            },
            stop = { _, _ -> Ok(Unit) },
        )

    private fun leaseManager(name: String) =
        LeaseManager(
            path = ObjectPath("leases/a"),
            machine = LeaseStateMachine(LeaseHolder(VmId(name), Incarnation(1))),
            store = memory.asStore,
            clock = clock,
            pollMs = 1,
        )

    private fun sender(lease: LeaseManager) =
        OrderSender(zone, OrderLease(lease::held, lease::recordIntent), orders, clock, kindOf = {
            _,
            _,
            ->
            TargetKind.MODEL
        })

    private suspend fun LeaseManager.acquire() {
        repeat(20) {
            step()
            clock.advanceMs(1_000)
        }
        step()
    }

    private fun intent(id: String) = OrderIntent(id, IntentKind.START, pool = "p", team = "t")

    @Test
    fun `an order is sent once with the lease's fencing number, and its intent is cleared`() =
        runTest {
            val lease = leaseManager("vm-1").apply { acquire() }
            assertEquals(OrderOutcome.Done, sender(lease).send(intent("o1")))
            assertEquals(listOf(1L), sent.map { it.fencingNumber.value })
            assertNull(lease.held()?.record?.intent)
        }

    @Nested
    inner class `without a valid lease` {
        @Test
        fun `no order is sent during an outage of the store`() =
            runTest {
                val lease = leaseManager("vm-1").apply { acquire() }
                memory.fault = StoreFault.DOWN
                assertIs<OrderOutcome.NotDone>(sender(lease).send(intent("o1")))
                assertEquals(emptyList(), sent)
            }

        @Test
        fun `no order is sent by a lease holder that was paused until its lease expired`() =
            runTest {
                val lease = leaseManager("vm-1").apply { acquire() }
                val successor = leaseManager("vm-2")
                clock.advanceMs(30_000)
                successor.acquire()
                assertIs<OrderOutcome.NotDone>(sender(lease).send(intent("o1")))
                assertEquals(emptyList(), sent)
                assertNull(lease.held())
            }
    }

    @Nested
    inner class `an order without a response` {
        @Test
        fun `an order without a response is reconciled by listing the targets, not by sending it again`() =
            runTest {
                respond = { Err(PlatformError.Unavailable("lost")) }
                val lease = leaseManager("vm-1").apply { acquire() }
                assertEquals(OrderOutcome.Unknown, sender(lease).send(intent("o1")))
                assertEquals(1, sent.size)
                assertNull(lease.held()?.record?.intent)
            }

        @Test
        fun `an order without a response is reconciled by the next lease holder if its sender dies`() =
            runTest {
                respond = {
                    memory.fault = StoreFault.DOWN
                    delay(5_000)
                    Ok(it)
                }
                val first = leaseManager("vm-1").apply { acquire() }
                sender(first).send(intent("o1"))
                memory.fault = StoreFault.NONE
                clock.advanceMs(30_000)
                val second = leaseManager("vm-2").apply { acquire() }
                assertEquals(
                    "o1",
                    second
                        .held()
                        ?.record
                        ?.intent
                        ?.orderId,
                )
                sender(second).reconcile()
                assertNull(second.held()?.record?.intent)
                assertEquals(1, sent.size)
            }
    }
}
