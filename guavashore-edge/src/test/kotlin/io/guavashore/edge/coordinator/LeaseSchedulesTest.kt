package io.guavashore.edge.coordinator

import io.guavashore.api.Incarnation
import io.guavashore.api.VmId
import io.guavashore.leases.HeldLease
import io.guavashore.leases.LeaseAction
import io.guavashore.leases.LeaseHolder
import io.guavashore.leases.LeaseRecord
import io.guavashore.leases.LeaseStateMachine
import io.guavashore.leases.LeaseTiming
import io.guavashore.platform.ObjectVersion
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertTrue

/** Checks the coordinator's lease on VMs that are suspended and whose wall clocks jump. */
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

    /** A VM whose monotonic clock stops during a suspension, while its wall clock advances. */
    private class Vm(
        number: Int,
        random: Random,
    ) {
        private val origin = random.nextLong(1_000_000)
        var suspendedMs = 0L
        var wallStepMs = 0L
        var suspendedUntilMs = 0L
        var trueMs = 0L
        val suspensionDetector = SuspensionDetector(::monotonicMs) { trueMs + wallStepMs }
        val machine = LeaseStateMachine(LeaseHolder(VmId("vm-$number"), Incarnation(1)), LEASE_TIMING)

        fun monotonicMs() = origin + trueMs - suspendedMs

        val isSuspended: Boolean get() = trueMs < suspendedUntilMs

        /** Checks the lease as the coordinator does before each order. */
        fun leaseGrant(): HeldLease? {
            if (!suspensionDetector.hasClockJumped()) return machine.heldAt(monotonicMs())
            machine.invalidate()
            return null
        }
    }

    @Test
    fun `at most one VM holds the lease at a time and fencing numbers never decrease on random schedules`() {
        var held = 0
        repeat(SCHEDULES) { seed -> held += runSchedule(seed) }
        assertTrue(held > SCHEDULES, "the lease was held in only $held of ${SCHEDULES * STEPS} steps")
    }

    /** Returns the number of steps in which a VM held the lease. */
    private fun runSchedule(seed: Int): Int {
        val random = Random(seed)
        val store = Store()
        val vms = List(3) { Vm(it, random) }
        var newestFence = 0L
        var held = 0
        repeat(STEPS) { step ->
            advanceTime(vms, random.nextLong(1, 400))
            injectFault(vms.random(random), random)
            vms.filterNot { it.isSuspended }.forEach { vm -> if (random.nextInt(3) > 0) stepLease(vm, store, random) }
            val grants = vms.filterNot { it.isSuspended }.mapNotNull { it.leaseGrant() }
            assertTrue(grants.size <= 1, "seed $seed step $step: ${grants.size} VMs hold the lease")
            grants.forEach { grant ->
                val fence = grant.fencingNumber.value
                assertTrue(fence >= newestFence, "seed $seed step $step: fencing number $fence after $newestFence")
                newestFence = fence
                held++
            }
        }
        return held
    }

    private fun advanceTime(
        vms: List<Vm>,
        byMs: Long,
    ) = vms.forEach { vm ->
        val suspensionMs = (vm.suspendedUntilMs - vm.trueMs).coerceIn(0, byMs)
        vm.trueMs += byMs
        vm.suspendedMs += suspensionMs
    }

    /**
     * Suspends [vm] or steps its wall clock. Never both at once: a wall-clock step during a suspension could hide the
     * suspension from the detector.
     */
    private fun injectFault(
        vm: Vm,
        random: Random,
    ) {
        if (vm.isSuspended) return
        when (random.nextInt(40)) {
            0 -> vm.suspendedUntilMs = vm.trueMs + random.nextLong(50, 8_000)
            1 -> vm.wallStepMs = random.nextLong(-4_000, 4_000)
        }
    }

    private fun stepLease(
        vm: Vm,
        store: Store,
        random: Random,
    ) {
        if (vm.suspensionDetector.hasClockJumped()) vm.machine.invalidate()
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

        /** Same values as in [Coordinator]. */
        val LEASE_TIMING = LeaseTiming(durationMs = 2_000, marginMs = 300, renewIntervalMs = 650)
    }
}
