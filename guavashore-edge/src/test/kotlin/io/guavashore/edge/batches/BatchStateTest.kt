package io.guavashore.edge.batches

import io.guavashore.edge.declared.SoftwareVersion
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class BatchStateTest {
    private val state = batch("b", listOf(itemSpec("a", "g1"), itemSpec("b", "g1"), itemSpec("c", "g2")))

    private fun settle(
        index: Int,
        nowMs: Long = 0,
    ) = state.settle(state.items[index], ItemOutcome.COMPLETED, nowMs)

    @Nested
    inner class `commit policy` {
        @Test
        fun `a complete group triggers a write of all settled results`() {
            settle(0)
            settle(2)
            assertEquals(listOf("a", "c"), resultsToCommit(state, nowMs = 10).map { it.spec.id.value })
        }

        @Test
        fun `settled results of incomplete groups are held back`() {
            settle(0)
            assertEquals(emptyList(), resultsToCommit(state, nowMs = 10))
        }

        @Test
        fun `settled results of incomplete groups are written after the maximum hold time`() {
            settle(0)
            assertEquals(1, resultsToCommit(state, nowMs = CommitConfig().maxHoldMs).size)
        }

        @Test
        fun `a write holds no more text than the maximum of a chunk`() {
            listOf(0, 1).forEach { index ->
                state.items[index].progress.add(TextEvent(1, "x".repeat(400_000), version = 1))
                settle(index)
            }
            assertEquals(1, resultsToCommit(state, nowMs = 0).size)
        }
    }

    @Nested
    inner class `listing of chunks` {
        private val chunk = ResultChunk(listOf(ItemResult(ItemId("a"), ItemOutcome.COMPLETED, "text", listOf(1))))

        @Test
        fun `an item that two chunks contain is listed once`() {
            state.applyChunk(chunk)
            state.applyChunk(chunk)
            assertEquals(1, state.results.size)
            assertEquals(2, state.nextChunk)
        }

        @Test
        fun `an item that another writer has listed is not settled again`() {
            state.applyChunk(chunk)
            settle(0)
            assertEquals("text", state.results.single().text)
            assertEquals(emptyList(), state.unlisted())
        }
    }

    @Nested
    inner class `pages of results` {
        private val results = List(5) { ItemResult(ItemId("i$it"), ItemOutcome.COMPLETED, "x".repeat(1_000)) }

        @Test
        fun `a page holds at least one result even if that exceeds the maximum size`() =
            assertEquals(1, pageOf(5, results, after = 0, maxBytes = 10).results.size)

        @Test
        fun `the next page starts after the last result of the previous one`() {
            val first = pageOf(5, results, after = 0, maxBytes = 2_500)
            val second = pageOf(5, results, after = first.next, maxBytes = 100_000)
            assertEquals(results, first.results + second.results)
            assertEquals(5, second.next)
        }

        @Test
        fun `a page past the end is empty and its next position is the end`() {
            val page = pageOf(5, results, after = 9, maxBytes = 100)
            assertTrue(page.results.isEmpty())
            assertEquals(5, page.next)
        }
    }

    @Nested
    inner class `item progress` {
        private val progress = ItemProgress(minVersion = 3, singleVersion = false)

        private fun event(
            id: Long,
            version: Long = 3,
            software: String? = "v1",
        ) = TextEvent(id, "e$id", version, software?.let(::SoftwareVersion))

        @Test
        fun `only the event that follows the last one is added`() {
            progress.add(event(1))
            assertEquals(AppendResult.OUT_OF_ORDER, progress.add(event(3)))
            assertEquals(AppendResult.OUT_OF_ORDER, progress.add(event(1)))
            assertEquals(AppendResult.ADDED, progress.add(event(2)))
            assertEquals("e1\ne2", progress.text())
        }

        @Test
        fun `an event of a version below the minimum is rejected`() =
            assertEquals(AppendResult.TOO_OLD, progress.add(event(1, version = 2)))

        @Test
        fun `versions lists all versions that generated events`() {
            progress.add(event(1, version = 4))
            progress.add(event(2, version = 5))
            assertEquals(listOf(4L, 5L), progress.versions())
        }

        @Test
        fun `an event of another version is rejected if a single version is required`() {
            val single = ItemProgress(minVersion = 3, singleVersion = true)
            single.add(event(1, version = 3))
            assertEquals(AppendResult.OTHER_VERSION, single.add(event(2, version = 4)))
        }

        @Test
        fun `an event of another software version is rejected`() {
            progress.add(event(1))
            assertEquals(AppendResult.OTHER_SOFTWARE, progress.add(event(2, software = "v2")))
        }

        @Test
        fun `an earlier text is adopted up to the first event of another software version`() {
            assertFalse(progress.adopt(listOf(event(1), event(2), event(3, software = "v2"))))
            assertEquals(2L, progress.lastEventId)
        }

        @Test
        fun `an earlier text of an unknown software version is not adopted`() {
            assertFalse(progress.adopt(listOf(event(1, software = null))))
            assertEquals(0, progress.size)
        }

        @Test
        fun `an earlier text is adopted up to the first event whose version is too old`() {
            progress.adopt(listOf(event(1, version = 3), event(2, version = 2), event(3, version = 3)))
            assertEquals(1L, progress.lastEventId)
        }

        @Test
        fun `an earlier text with mixed versions is not adopted if a single version is required`() {
            val single = ItemProgress(minVersion = 3, singleVersion = true)
            single.adopt(listOf(event(1, version = 3), event(2, version = 4)))
            assertFalse(single.size > 0)
        }
    }
}
