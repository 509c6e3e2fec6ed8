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
    fun `an event has its numeric id, its joined data lines and all its lines`() {
        val event = EventReader().take("x-version: 4\nid: 7\ndata: one\ndata: two\n\n".encodeToByteArray()).single()
        assertEquals(7L, event.id)
        assertEquals("one\ntwo", event.data)
        assertEquals("x-version: 4", event.lines.first())
    }

    @Test
    fun `an incomplete event is not returned`() {
        val reader = EventReader()
        assertEquals(emptyList(), reader.take("id: 1\ndata: cut".encodeToByteArray()))
        assertFalse(reader.isBetweenEvents)
    }

    @Test
    fun `a block of comment lines is returned as a comment`() {
        val read = EventReader().take(": still here\n\nid: 1\ndata: a\n\n".encodeToByteArray())
        assertEquals(listOf(true, false), read.map { it.isComment })
    }

    @Test
    fun `an event that exceeds the size limit is rejected`() {
        val reader = EventReader(maxBytes = 100_000)
        val part = "data: ".encodeToByteArray() + ByteArray(994) { 'x'.code.toByte() }
        assertFailsWith<ExchangeFailure.Broken> { repeat(101) { reader.take(part) } }
    }

    @Test
    fun `the time to read an event in many small parts grows less than quadratically with its size`() {
        val smallEventMs = timeMs(100_000)
        val largeEventMs = timeMs(1_000_000)
        assertTrue(largeEventMs < 100 * maxOf(smallEventMs, 5), "100 kB: $smallEventMs ms, 1 MB: $largeEventMs ms")
        assertTrue(largeEventMs < 3_000, "1 MB: $largeEventMs ms")
    }

    /** Time in milliseconds to read [bytes] bytes of one event in parts of ten bytes. */
    private fun timeMs(bytes: Int): Long {
        val reader = EventReader(maxBytes = bytes + 1)
        val part = ByteArray(10) { 'x'.code.toByte() }
        val fromNs = System.nanoTime()
        repeat(bytes / part.size) { reader.take(part) }
        return (System.nanoTime() - fromNs) / 1_000_000
    }

    @Test
    fun `the same events are read however the stream is split, for a thousand seeds`() {
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
