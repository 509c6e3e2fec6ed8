package io.guavashore.edge.targets

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class EventReaderTest {
    @Test
    fun `reads number, data and other lines`() {
        val event = EventReader().take("x-version: 4\nid: 7\ndata: one\ndata: two\n\n".encodeToByteArray()).single()
        assertEquals(7L, event.id)
        assertEquals("one\ntwo", event.data)
        assertEquals("x-version: 4", event.lines.first())
    }

    @Test
    fun `an event without its end is none`() {
        val reader = EventReader()
        assertEquals(emptyList(), reader.take("id: 1\ndata: cut".encodeToByteArray()))
        assertFalse(reader.isBetweenEvents)
    }

    @Test
    fun `events come out the same wherever the bytes are cut, in a thousand ways`() {
        val text = (1..6).joinToString("") { "id: $it\ndata: d$it\r\ndata: é$it\n\n" }.encodeToByteArray()
        repeat(1_000) { seed ->
            val random = Random(seed)
            val reader = EventReader()
            val events = ArrayList<StreamEvent>()
            var from = 0
            while (from < text.size) {
                val to = minOf(text.size, from + 1 + random.nextInt(12))
                events += reader.take(text.copyOfRange(from, to))
                from = to
            }
            assertEquals((1L..6L).toList(), events.map { it.id }, "seed $seed")
            assertEquals((1..6).map { "d$it\né$it" }, events.map { it.data }, "seed $seed")
            assertTrue(reader.isBetweenEvents)
        }
    }
}
