package io.guavashore.leases

import io.guavashore.api.Incarnation
import io.guavashore.api.VmId
import io.guavashore.platform.ObjectVersion
import org.junit.jupiter.api.Nested
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

class LeaseStateMachineTest {
    private fun holder(name: String) = LeaseHolder(VmId(name), Incarnation(1))

    /** Store of one object with conditional updates. */
    private class SingleObjectStore {
        var version = ObjectVersion.ABSENT
        var record: LeaseRecord? = null

        fun write(action: LeaseAction.Write): Boolean {
            if (action.expected != version) return false
            version = ObjectVersion(version.value + 1)
            record = action.record
            return true
        }
    }

    private fun LeaseStateMachine.drive(
        store: SingleObjectStore,
        nowMs: Long,
    ) {
        repeat(3) {
            when (val action = next(nowMs)) {
                LeaseAction.Wait -> return
                LeaseAction.Read -> onRead(store.version, store.record, nowMs)
                is LeaseAction.Write -> if (store.write(action)) onWritten(store.version) else onConflict()
            }
        }
    }

    @Nested
    inner class `a lease without a holder` {
        @Test
        fun `a lease without a holder is acquired immediately with a fencing number and is renewed`() {
            val store = SingleObjectStore()
            val machine = LeaseStateMachine(holder("a"))
            (0L..60_000L step 500).forEach { machine.drive(store, it) }
            assertEquals(1, machine.heldAt(60_000)?.fencingNumber?.value)
        }
    }

    @Nested
    inner class `a holder that stops renewing` {
        @Test
        fun `a lease is taken over only after it has expired by its holder's clock`() {
            val store = SingleObjectStore()
            val first = LeaseStateMachine(holder("a")).apply { drive(store, 0) }
            val second = LeaseStateMachine(holder("b"))
            val takenAtMs =
                (100L..60_000L step 100).first {
                    second.drive(store, it)
                    second.heldAt(it) != null
                }
            assertNull(first.heldAt(takenAtMs))
            assertEquals(2, second.heldAt(takenAtMs)?.fencingNumber?.value)
            assertTrue(takenAtMs <= 13_000, "taken at $takenAtMs")
        }

        @Test
        fun `a successor inherits the intent of a holder that stopped renewing`() {
            val store = SingleObjectStore()
            val intent = OrderIntent("order-1", IntentKind.START)
            LeaseStateMachine(holder("a")).apply {
                drive(store, 0)
                setIntent(intent)
                drive(store, 100)
            }
            val second = LeaseStateMachine(holder("b"))
            (200L..20_000L step 100).forEach { second.drive(store, it) }
            assertEquals(intent, second.heldAt(20_000)?.record?.intent)
        }
    }

    @Nested
    inner class `a write whose response is lost` {
        @Test
        fun `a write without a response is confirmed by a read, and the lease counts from its sending`() {
            val store = SingleObjectStore()
            val machine = LeaseStateMachine(holder("a"))
            machine.onRead(store.version, null, nowMs = 0)
            val write = assertIs<LeaseAction.Write>(machine.next(1_000))
            store.write(write)
            machine.onUnavailable(nowMs = 5_000)
            assertNull(machine.heldAt(5_000))
            assertIs<LeaseAction.Read>(machine.next(7_000))
            machine.onRead(store.version, store.record, nowMs = 7_000)
            assertEquals(9_000, assertNotNull(machine.heldAt(7_000)).untilMs)
        }

        @Test
        fun `a write without a response that had no effect does not make its sender the holder`() {
            val store = SingleObjectStore()
            val machine = LeaseStateMachine(holder("a"))
            machine.onRead(store.version, null, nowMs = 0)
            machine.next(1_000)
            machine.onUnavailable(nowMs = 2_000)
            machine.onRead(store.version, null, nowMs = 4_000)
            assertNull(machine.heldAt(4_000))
        }
    }

    @Nested
    inner class `a write before a suspension` {
        @Test
        fun `a write sent before a suspension does not make its sender the holder when read back`() {
            val store = SingleObjectStore()
            val machine = LeaseStateMachine(holder("a"))
            machine.onRead(store.version, null, nowMs = 0)
            store.write(assertIs<LeaseAction.Write>(machine.next(1_000)))
            machine.onUnavailable(nowMs = 1_100)
            machine.invalidate()
            machine.onRead(store.version, store.record, nowMs = 1_200)
            assertNull(machine.heldAt(1_200))
            machine.drive(store, 1_300)
            assertNotNull(machine.heldAt(1_300))
        }
    }

    @Nested
    inner class `a renewal that does not reach the store` {
        @Test
        fun `the only contender regains the lease after a renewal that did not reach the store`() {
            val store = SingleObjectStore()
            val machine = LeaseStateMachine(holder("a")).apply { drive(store, 0) }
            assertIs<LeaseAction.Write>(machine.next(3_500))
            machine.onUnavailable(nowMs = 4_000)
            (5_000L..60_000L step 500).forEach { machine.drive(store, it) }
            assertNotNull(machine.heldAt(60_000))
        }
    }

    /** Combines clocks of different origin, pauses, lost responses, stale reads and outages of the store. */
    @Test
    fun `two contenders never hold the lease at the same time on random schedules`() {
        repeat(3_000) { seed -> runSchedule(seed) }
    }

    private class Contender(
        val machine: LeaseStateMachine,
        val clockOffsetMs: Long,
        var pausedUntilMs: Long = 0,
        var heldByOwnClock: Boolean = false,
    )

    private fun runSchedule(seed: Int) {
        val random = Random(seed)
        val store = SingleObjectStore()
        val history = ArrayDeque<Pair<ObjectVersion, LeaseRecord?>>()
        val contenders = List(3) { Contender(LeaseStateMachine(holder("vm-$it")), random.nextLong(1_000_000)) }
        var nowMs = 0L
        var outageUntilMs = 0L
        var holders = 0L
        repeat(250) {
            nowMs += random.nextLong(1, 900)
            if (random.nextInt(50) == 0) outageUntilMs = nowMs + random.nextLong(30_000)
            val contender = contenders.random(random)
            if (random.nextInt(25) == 0) contender.pausedUntilMs = nowMs + random.nextLong(25_000)
            if (nowMs >= contender.pausedUntilMs) {
                actOnce(contender, store, history, nowMs, random, down = nowMs < outageUntilMs)
            }
            val holding = contenders.count { it.machine.heldAt(nowMs + it.clockOffsetMs) != null }
            holders += holding
            assertTrue(holding <= 1, "seed $seed: $holding holders at $nowMs")
        }
        assertTrue(holders > 0, "seed $seed: the lease was never held")
    }

    private fun actOnce(
        contender: Contender,
        store: SingleObjectStore,
        history: ArrayDeque<Pair<ObjectVersion, LeaseRecord?>>,
        nowMs: Long,
        random: Random,
        down: Boolean,
    ) {
        val localMs = nowMs + contender.clockOffsetMs
        val machine = contender.machine
        val action = machine.next(localMs)
        if (action == LeaseAction.Wait) return
        val responseLost = down || random.nextInt(10) == 0
        val hasEffect = !down || random.nextInt(4) == 0
        if (action is LeaseAction.Write && hasEffect) {
            history.addLast(store.version to store.record)
            val written = store.write(action)
            if (responseLost) {
                machine.onUnavailable(localMs)
            } else if (written) {
                machine.onWritten(store.version)
            } else {
                machine.onConflict()
            }
            return
        }
        if (responseLost || action is LeaseAction.Write) return machine.onUnavailable(localMs)
        val (version, record) =
            if (history.isNotEmpty() &&
                random.nextInt(6) == 0
            ) {
                history.random(random)
            } else {
                store.version to store.record
            }
        machine.onRead(version, record, localMs)
    }

    @Nested
    inner class `a holder that releases its lease` {
        @Test
        fun `a released lease is taken over immediately with a higher fencing number`() {
            val store = SingleObjectStore()
            val first = LeaseStateMachine(holder("a")).apply { drive(store, 0) }
            val second = LeaseStateMachine(holder("b")).apply { drive(store, 100) }
            store.write(assertIs<LeaseAction.Write>(first.release(200)))
            assertNull(first.heldAt(200))
            (2_000L..2_500L step 100).forEach { second.drive(store, it) }
            assertEquals(2, second.heldAt(2_500)?.fencingNumber?.value)
        }
    }

    @Nested
    inner class `a holder that may have been suspended` {
        private val store = SingleObjectStore()
        private val first = LeaseStateMachine(holder("a")).apply { drive(store, 0) }

        @Test
        fun `a suspended holder does not hold the lease until the store confirms it, and keeps its number`() {
            first.invalidate()
            assertNull(first.heldAt(10))
            (2_000L..2_400L step 100).forEach { first.drive(store, it) }
            assertEquals(1, first.heldAt(2_400)?.fencingNumber?.value)
        }

        @Test
        fun `a suspended holder detects that another process has taken over`() {
            val second = LeaseStateMachine(holder("b"))
            (100L..20_000L step 100).forEach { second.drive(store, it) }
            first.invalidate()
            (20_100L..22_000L step 100).forEach { first.drive(store, it) }
            assertNull(first.heldAt(22_000))
        }
    }
}
