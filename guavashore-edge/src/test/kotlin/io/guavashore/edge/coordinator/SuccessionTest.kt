package io.guavashore.edge.coordinator

import io.guavashore.api.Incarnation
import io.guavashore.api.VmId
import io.guavashore.api.ZoneId
import io.guavashore.edge.peers.VmRecord
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class SuccessionTest {
    private val vms =
        List(8) {
            VmRecord(
                VmId("vm-$it"),
                Incarnation(1),
                "10.0.0.$it:1",
                ZoneId("z${it % 2}"),
                if (it <
                    4
                ) {
                    1.0
                } else {
                    0.3
                },
            )
        }

    @Test
    fun `potential coordinators do not depend on the order in which VMs are listed`() {
        val potentialCoordinators = Succession().potentialCoordinators(vms)
        repeat(20) { assertEquals(potentialCoordinators, Succession().potentialCoordinators(vms.shuffled())) }
    }

    @Test
    fun `VMs with more capacity come first in the succession order`() {
        assertTrue(Succession().ordered(vms).take(4).all { it.capacity == 1.0 })
    }

    @Test
    fun `the next coordinator after the loss of a VM or zone is among the potential coordinators`() {
        val potentialCoordinators = Succession().potentialCoordinators(vms)
        vms.forEach { lost ->
            val left = vms - lost
            assertTrue(Succession().ordered(left).first().vm in potentialCoordinators, "without ${lost.vm}")
        }
        vms.map { it.zone }.distinct().forEach { lost ->
            val left = vms.filter { it.zone != lost }
            assertTrue(Succession().ordered(left).first().vm in potentialCoordinators, "without zone $lost")
        }
    }
}
