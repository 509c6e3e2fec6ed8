package io.guavashore.edge.coordinator

import io.guavashore.api.Incarnation
import io.guavashore.api.VmId
import io.guavashore.leases.HeldLease
import io.guavashore.leases.LeaseAction
import io.guavashore.leases.LeaseHolder
import io.guavashore.leases.LeaseStateMachine
import io.guavashore.leases.LeaseRecord
import io.guavashore.leases.LeaseTiming
import io.guavashore.platform.ObjectVersion
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertTrue

/** The coordinator's lease with its guard, on VMs that stand still and whose time of day jumps. */
class LeaseSchedulesTest {
    private class Store {
        var version = ObjectVersion.ABSENT
            private set
        var record: LeaseRecord? = null
            private set

        fun write(action: LeaseAction.Write): Boolean {
            if (action.expected != version) return false
            version = ObjectVersion(version.value + 1)
            record = action.record
            return true
        }
    }

    /** A VM whose monotonic clock stops while it stands still; its time of day does not. */
    private class Vm(
        number: Int,
        random: Random,
    ) {
        private val origin = random.nextLong(1_000_000)
        var stoodStillMs = 0L
        var stepMs = 0L
        var frozenUntilMs = 0L
        var trueMs = 0L
        val guard = SuspensionGuard(::monotonicMs) { trueMs + stepMs }
        val machine = LeaseStateMachine(LeaseHolder(VmId("vm-$number"), Incarnation(1)), TERMS)

        fun monotonicMs() = origin + trueMs - stoodStillMs

        val isFrozen: Boolean get() = trueMs < frozenUntilMs

        /** What the coordinator asks before each order. */
        fun right(): HeldLease? {
            if (!guard.jumped()) return machine.heldAt(monotonicMs())
            machine.invalidate()
            return null
        }
    }

    @Test
    fun `no two VMs may order at once, and fencing numbers never go back, on random schedules`() {
        var held = 0
        repeat(SCHEDULES) { seed -> held += runSchedule(seed) }
        assertTrue(held > SCHEDULES, "the lease was held in $held steps only")
    }

    /** Returns the steps in which some VM held the lease. */
    private fun runSchedule(seed: Int): Int {
        val random = Random(seed)
        val store = Store()
        val vms = List(3) { Vm(it, random) }
        var newestFence = 0L
        var held = 0
        repeat(STEPS) { step ->
            pass(vms, random.nextLong(1, 400))
            disturb(vms.random(random), random)
            vms.filterNot { it.isFrozen }.forEach { vm -> if (random.nextInt(3) > 0) act(vm, store, random) }
            val rights = vms.filterNot { it.isFrozen }.mapNotNull { it.right() }
            assertTrue(rights.size <= 1, "seed $seed step $step: ${rights.size} VMs may order")
            rights.forEach { right ->
                val fence = right.fencingNumber.value
                assertTrue(fence >= newestFence, "seed $seed step $step: order with $fence after $newestFence")
                newestFence = fence
                held++
            }
        }
        return held
    }

    private fun pass(
        vms: List<Vm>,
        byMs: Long,
    ) = vms.forEach { vm ->
        val frozenMs = (vm.frozenUntilMs - vm.trueMs).coerceIn(0, byMs)
        vm.trueMs += byMs
        vm.stoodStillMs += frozenMs
    }

    /** A step of the time of day during a suspension could hide it, so these do not come together. */
    private fun disturb(
        vm: Vm,
        random: Random,
    ) {
        if (vm.isFrozen) return
        when (random.nextInt(40)) {
            0 -> vm.frozenUntilMs = vm.trueMs + random.nextLong(50, 8_000)
            1 -> vm.stepMs = random.nextLong(-4_000, 4_000)
        }
    }

    private fun act(
        vm: Vm,
        store: Store,
        random: Random,
    ) {
        if (vm.guard.jumped()) vm.machine.invalidate()
        val now = vm.monotonicMs()
        val isLost = random.nextInt(8) == 0
        when (val action = vm.machine.next(now)) {
            LeaseAction.Wait -> Unit
            LeaseAction.Read ->
                if (isLost) vm.machine.onUnavailable(now) else vm.machine.onRead(store.version, store.record, now)
            is LeaseAction.Write -> {
                val takesEffect = !isLost || random.nextBoolean()
                val done = takesEffect && store.write(action)
                when {
                    isLost -> vm.machine.onUnavailable(now)
                    done -> vm.machine.onWritten(store.version)
                    else -> vm.machine.onConflict()
                }
            }
        }
    }

    private companion object {
        const val SCHEDULES = 10_000
        const val STEPS = 120

        /** As [Coordinator] sets them. */
        val TERMS = LeaseTiming(durationMs = 2_000, marginMs = 300, renewIntervalMs = 650)
    }
}
