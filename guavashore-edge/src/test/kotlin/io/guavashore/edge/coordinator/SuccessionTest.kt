package io.guavashore.edge.coordinator

import io.guavashore.api.Incarnation
import io.guavashore.api.VmId
import io.guavashore.api.ZoneId
import io.guavashore.edge.peers.VmRecord
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class SuccessionTest {
    private val cards =
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
    fun `all VMs agree on the heirs, whatever order they know each other in`() {
        val heirs = Succession().heirs(cards)
        repeat(20) { assertEquals(heirs, Succession().heirs(cards.shuffled())) }
    }

    @Test
    fun `larger VMs come first`() {
        assertTrue(Succession().ordered(cards).take(4).all { it.capacity == 1.0 })
    }

    @Test
    fun `after the loss of any VM or availability zone the next coordinator is among the heirs`() {
        val heirs = Succession().heirs(cards)
        cards.forEach { lost ->
            val left = cards - lost
            assertTrue(Succession().ordered(left).first().vm in heirs, "without ${lost.vm}")
        }
        cards.map { it.zone }.distinct().forEach { lost ->
            val left = cards.filter { it.zone != lost }
            assertTrue(Succession().ordered(left).first().vm in heirs, "without $lost")
        }
    }
}
