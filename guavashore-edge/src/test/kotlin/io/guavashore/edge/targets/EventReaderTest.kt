package io.guavashore.edge.targets

import io.guavashore.net.ExchangeFailure
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
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
    fun `lines of comment are no event`() {
        val read = EventReader().take(": still here\n\nid: 1\ndata: a\n\n".encodeToByteArray())
        assertEquals(listOf(true, false), read.map { it.isComment })
    }

    @Test
    fun `an event without end is given up at its bound`() {
        val reader = EventReader(mostBytes = 100_000)
        val part = "data: ".encodeToByteArray() + ByteArray(994) { 'x'.code.toByte() }
        assertFailsWith<ExchangeFailure.Broken> { repeat(101) { reader.take(part) } }
    }

    @Test
    fun `an event of many small parts costs time in proportion to its bytes`() {
        val oneMs = timeMs(100_000)
        val tenMs = timeMs(1_000_000)
        assertTrue(tenMs < 100 * maxOf(oneMs, 5), "100 kB: $oneMs ms, 1 MB: $tenMs ms")
        assertTrue(tenMs < 3_000, "1 MB: $tenMs ms")
    }

    /** Time to read [bytes] bytes of one event, ten at a time, in milliseconds. */
    private fun timeMs(bytes: Int): Long {
        val reader = EventReader(mostBytes = bytes + 1)
        val part = ByteArray(10) { 'x'.code.toByte() }
        val fromNs = System.nanoTime()
        repeat(bytes / part.size) { reader.take(part) }
        return (System.nanoTime() - fromNs) / 1_000_000
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
