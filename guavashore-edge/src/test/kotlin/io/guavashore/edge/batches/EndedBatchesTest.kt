package io.guavashore.edge.batches

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue

class EndedBatchesTest {
    private fun ended(
        id: String,
        textChars: Int = 10,
    ): BatchState {
        val batch = batch(id, listOf(itemSpec("i-$id"), itemSpec("j-$id")))
        batch.list(ResultChunk(listOf(ItemResult(ItemId("i-$id"), ItemOutcome.COMPLETED, "x".repeat(textChars)))))
        batch.end()
        return batch
    }

    @Test
    fun `a reader gets the same page as before the end`() {
        val batch = ended("b")
        val kept = EndedBatches().apply { keep(batch) }
        assertEquals(batch.page(0, MOST_BYTES), kept.page(batch.id, 0, MOST_BYTES))
    }

    @Test
    fun `a chunk whose write was under way at the end is read too`() {
        val batch = ended("b")
        val kept = EndedBatches().apply { keep(batch) }
        batch.list(ResultChunk(listOf(ItemResult(ItemId("j-b"), ItemOutcome.GIVEN_UP))))
        assertEquals(2, kept.page(batch.id, 0, MOST_BYTES).results.size)
    }

    @Test
    fun `nothing is known of a batch after its retention`() {
        val batch = ended("b")
        val kept = EndedBatches().apply { keep(batch) }
        assertEquals(batch.record.organisation, kept.organisationOf(batch.id, batch.record.keepUntilMs))
        assertNull(kept.organisationOf(batch.id, batch.record.keepUntilMs + 1))
    }

    @Test
    fun `the oldest batches are dropped when their texts take too much memory`() {
        val kept = EndedBatches(mostTextChars = 100)
        val batches = List(5) { ended("b$it", textChars = 40) }
        batches.forEach(kept::keep)
        assertEquals(listOf("b3", "b4"), batches.filter { kept.organisationOf(it.id, 0) != null }.map { it.id.value })
    }

    @Test
    fun `an end counts as written only once the store has it`() {
        val batch = ended("b")
        val kept = EndedBatches().apply { keep(batch) }
        assertFalse(kept.isEndWritten(batch.id))
        kept.markEndWritten(batch.id)
        assertTrue(kept.isEndWritten(batch.id))
    }

    private companion object {
        const val MOST_BYTES = 1_000
    }
}
