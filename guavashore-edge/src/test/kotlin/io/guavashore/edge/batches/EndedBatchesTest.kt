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
        batch.applyChunk(ResultChunk(listOf(ItemResult(ItemId("i-$id"), ItemOutcome.COMPLETED, "x".repeat(textChars)))))
        batch.end()
        return batch
    }

    @Test
    fun `the cache returns the same page of an ended batch as before its end`() {
        val batch = ended("b")
        val cache = EndedBatches().apply { keep(batch) }
        assertEquals(batch.page(0, MAX_BYTES), cache.page(batch.id, 0, MAX_BYTES))
    }

    @Test
    fun `results of a chunk whose write was in flight at the end of its batch are included in the page`() {
        val batch = ended("b")
        val cache = EndedBatches().apply { keep(batch) }
        batch.applyChunk(ResultChunk(listOf(ItemResult(ItemId("j-b"), ItemOutcome.GIVEN_UP))))
        assertEquals(2, cache.page(batch.id, 0, MAX_BYTES).results.size)
    }

    @Test
    fun `an ended batch is unknown to the cache after its retention time`() {
        val batch = ended("b")
        val cache = EndedBatches().apply { keep(batch) }
        assertEquals(batch.record.organisation, cache.organisationOf(batch.id, batch.record.keepUntilMs))
        assertNull(cache.organisationOf(batch.id, batch.record.keepUntilMs + 1))
    }

    @Test
    fun `the oldest ended batches are evicted when the texts in the cache exceed the maximum size`() {
        val cache = EndedBatches(maxTextChars = 100)
        val batches = List(5) { ended("b$it", textChars = 40) }
        batches.forEach(cache::keep)
        assertEquals(listOf("b3", "b4"), batches.filter { cache.organisationOf(it.id, 0) != null }.map { it.id.value })
    }

    @Test
    fun `the end of a batch counts as written only after it has been marked as written`() {
        val batch = ended("b")
        val cache = EndedBatches().apply { keep(batch) }
        assertFalse(cache.isEndWritten(batch.id))
        cache.markEndWritten(batch.id)
        assertTrue(cache.isEndWritten(batch.id))
    }

    private companion object {
        const val MAX_BYTES = 1_000
    }
}
