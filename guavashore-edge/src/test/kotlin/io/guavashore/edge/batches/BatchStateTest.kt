package io.guavashore.edge.batches

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
    inner class `results are written` {
        @Test
        fun `when a group is whole, with all that is settled`() {
            settle(0)
            settle(2)
            assertEquals(listOf("a", "c"), resultsToCommit(state, nowMs = 10).map { it.spec.id.value })
        }

        @Test
        fun `not while only open groups have some`() {
            settle(0)
            assertEquals(emptyList(), resultsToCommit(state, nowMs = 10))
        }

        @Test
        fun `after a while for open groups too`() {
            settle(0)
            assertEquals(1, resultsToCommit(state, nowMs = CommitTerms().longestHoldMs).size)
        }

        @Test
        fun `no more than a chunk holds at once`() {
            listOf(0, 1).forEach { index ->
                state.items[index].progress.add(TextEvent(1, "x".repeat(400_000), version = 1))
                settle(index)
            }
            assertEquals(1, resultsToCommit(state, nowMs = 0).size)
        }
    }

    @Nested
    inner class `a chunk is listed` {
        private val chunk = ResultChunk(listOf(ItemResult(ItemId("a"), ItemOutcome.COMPLETED, "text", listOf(1))))

        @Test
        fun `an item stands at one position only, whoever wrote it`() {
            state.list(chunk)
            state.list(chunk)
            assertEquals(1, state.results.size)
            assertEquals(2, state.nextChunk)
        }

        @Test
        fun `what another writer listed is not settled here again`() {
            state.list(chunk)
            settle(0)
            assertEquals("text", state.results.single().text)
            assertEquals(emptyList(), state.unlisted())
        }
    }

    @Nested
    inner class `a page` {
        private val results = List(5) { ItemResult(ItemId("i$it"), ItemOutcome.COMPLETED, "x".repeat(1_000)) }

        @Test
        fun `holds one result at least`() = assertEquals(1, pageOf(5, results, after = 0, mostBytes = 10).results.size)

        @Test
        fun `goes on where the last one ended`() {
            val first = pageOf(5, results, after = 0, mostBytes = 2_500)
            val second = pageOf(5, results, after = first.next, mostBytes = 100_000)
            assertEquals(results, first.results + second.results)
            assertEquals(5, second.next)
        }

        @Test
        fun `past the end is empty and stays at the end`() {
            val page = pageOf(5, results, after = 9, mostBytes = 100)
            assertTrue(page.results.isEmpty())
            assertEquals(5, page.next)
        }
    }

    @Nested
    inner class `text of an item` {
        private val progress = ItemProgress(minVersion = 3, singleVersion = false)

        private fun event(
            id: Long,
            version: Long = 3,
        ) = TextEvent(id, "e$id", version)

        @Test
        fun `goes on with the next event only`() {
            progress.add(event(1))
            assertEquals(EventFit.OUT_OF_ORDER, progress.add(event(3)))
            assertEquals(EventFit.OUT_OF_ORDER, progress.add(event(1)))
            assertEquals(EventFit.ADDED, progress.add(event(2)))
            assertEquals("e1\ne2", progress.text())
        }

        @Test
        fun `takes no event of weights that are too old`() =
            assertEquals(EventFit.TOO_OLD, progress.add(event(1, version = 2)))

        @Test
        fun `names every version that made an event`() {
            progress.add(event(1, version = 4))
            progress.add(event(2, version = 5))
            assertEquals(listOf(4L, 5L), progress.versions())
        }

        @Test
        fun `keeps to one version where the route wants that`() {
            val single = ItemProgress(minVersion = 3, singleVersion = true)
            single.add(event(1, version = 3))
            assertEquals(EventFit.OTHER_VERSION, single.add(event(2, version = 4)))
        }

        @Test
        fun `of an earlier batch is taken over as far as its versions fit`() {
            progress.adopt(listOf(event(1, version = 3), event(2, version = 2), event(3, version = 3)))
            assertEquals(1L, progress.lastEventId)
        }

        @Test
        fun `of an earlier batch with mixed versions is not taken over where one is wanted`() {
            val single = ItemProgress(minVersion = 3, singleVersion = true)
            single.adopt(listOf(event(1, version = 3), event(2, version = 4)))
            assertFalse(single.size > 0)
        }
    }
}
