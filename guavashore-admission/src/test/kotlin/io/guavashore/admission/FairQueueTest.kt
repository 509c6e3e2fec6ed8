package io.guavashore.admission

import io.guavashore.api.OrganisationId
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

class FairQueueTest {
    private val bursty = OrganisationId("flooder")
    private val small = OrganisationId("small")

    private fun item(
        name: String,
        organisation: OrganisationId,
        workClass: WorkClass = WorkClass.PUBLIC,
        cost: Long = 100,
        deadlineMs: Long = 1_000,
    ) = QueueItem(name, organisation, workClass, cost, deadlineMs)

    @Nested
    inner class `a burst from one organisation` {
        @Test
        fun `a burst from one organisation delays another organisation by at most one turn`() {
            val queue = FairQueue<String>(quantum = 256)
            repeat(100) { queue.offer(item("flood-$it", bursty)) }
            queue.offer(item("small", small))
            val order = generateSequence { queue.poll()?.value }.toList()
            assertTrue(order.indexOf("small") <= 3, "was at ${order.indexOf("small")}")
            assertEquals(101, order.size)
        }

        @Test
        fun `a burst gets only half the served cost while another organisation sends larger requests`() {
            val queue = FairQueue<String>(quantum = 256)
            repeat(2_000) { queue.offer(item("f", bursty, cost = 50)) }
            repeat(100) { queue.offer(item("s", small, cost = 700)) }
            val costs = HashMap<OrganisationId, Long>()
            repeat(1_000) { queue.poll()?.let { costs.merge(it.organisation, it.cost, Long::plus) } }
            val share = costs.getValue(small).toDouble() / costs.values.sum()
            assertTrue(share in 0.45..0.55, "share was $share")
        }
    }

    @Nested
    inner class `priority classes` {
        @Test
        fun `public calls are served first, then samples by earliest deadline`() {
            val queue = FairQueue<String>()
            queue.offer(item("late sample", small, WorkClass.SAMPLES, deadlineMs = 900))
            queue.offer(item("early sample", small, WorkClass.SAMPLES, deadlineMs = 500))
            queue.offer(item("call", small))
            assertEquals("early sample", queue.poll { it == WorkClass.SAMPLES }?.value)
            assertEquals("call", queue.poll()?.value)
            assertEquals("late sample", queue.poll()?.value)
            assertNull(queue.poll())
        }
    }

    @Test
    fun `removed and expired items leave the queue and reduce its size`() {
        val queue = FairQueue<String>()
        queue.offer(item("a", small, deadlineMs = 100))
        queue.offer(item("b", small, deadlineMs = 200))
        queue.offer(item("c", small, deadlineMs = 300))
        assertTrue(queue.remove("b"))
        assertEquals(listOf("a"), queue.expire(nowMs = 100).map { it.value })
        assertEquals(1, queue.size)
        assertEquals("c", queue.poll()?.value)
    }
}
