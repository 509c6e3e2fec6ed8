package io.guavashore.edge.catalog

import io.guavashore.platform.Collection
import io.guavashore.platform.EntryChange
import io.guavashore.platform.StoreAnswer
import io.guavashore.platform.StoredEntry
import org.junit.jupiter.api.Nested
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull

class CatalogTest {
    private val targets = Collection("targets")
    private val catalog = Catalog(listOf(targets))

    private fun entry(
        name: String,
        revision: Long,
    ) = StoredEntry(name, revision, content = "r$revision")

    private fun changed(
        name: String,
        revision: Long,
        deleted: Boolean = false,
    ) = EntryChange(entry(name, revision), deleted)

    @Nested
    inner class `a change` {
        @Test
        fun `that is older than what is known is ignored`() {
            catalog.apply(targets, listOf(changed("a", 9)))
            assertEquals(emptyList(), catalog.apply(targets, listOf(changed("a", 8))))
            assertEquals("r9", catalog.entry(targets, "a")?.content)
        }

        @Test
        fun `that arrives after the removal it preceded does not bring the object back`() {
            catalog.apply(targets, listOf(changed("a", 10, deleted = true)))
            catalog.apply(targets, listOf(changed("a", 9)))
            assertNull(catalog.entry(targets, "a"))
        }
    }

    @Nested
    inner class `a listing` {
        @Test
        fun `removes what it lacks`() {
            catalog.apply(targets, listOf(changed("a", 5)))
            catalog.applyListing(targets, StoreAnswer.Listing(listOf(entry("b", 6)), asOfRevision = 7))
            assertEquals(listOf("b"), catalog.entries(targets).map { it.name })
        }

        @Test
        fun `does not remove what is newer than it`() {
            catalog.apply(targets, listOf(changed("a", 9)))
            catalog.applyListing(targets, StoreAnswer.Listing(emptyList(), asOfRevision = 7))
            assertNotNull(catalog.entry(targets, "a"))
        }
    }

    @Test
    fun `copies that saw the same changes are equal in whatever order, also twice, in ten thousand schedules`() {
        repeat(SCHEDULES) { seed ->
            val random = Random(seed)
            val history =
                (1L..12L).map { revision ->
                    changed("n${random.nextInt(4)}", revision * 2, deleted = random.nextInt(4) == 0)
                }
            val expected = Catalog(listOf(targets)).also { it.apply(targets, history) }
            val shuffled = (history + history.filter { random.nextBoolean() }).shuffled(random)
            val actual = Catalog(listOf(targets)).also { copy -> shuffled.forEach { copy.apply(targets, listOf(it)) } }
            assertEquals(expected.entries(targets).toSet(), actual.entries(targets).toSet(), "seed $seed")
        }
    }

    private companion object {
        const val SCHEDULES = 10_000
    }
}
