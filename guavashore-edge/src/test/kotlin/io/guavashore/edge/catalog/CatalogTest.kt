package io.guavashore.edge.catalog

import io.guavashore.platform.CollectionName
import io.guavashore.platform.EntryChange
import io.guavashore.platform.StoreResponse
import io.guavashore.platform.StoredEntry
import org.junit.jupiter.api.Nested
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull

class CatalogTest {
    private val targets = CollectionName("targets")
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
        fun `a change that is older than the known one is ignored`() {
            catalog.apply(targets, listOf(changed("a", 9)))
            assertEquals(emptyList(), catalog.apply(targets, listOf(changed("a", 8))))
            assertEquals("r9", catalog.entry(targets, "a")?.content)
        }

        @Test
        fun `a change that arrives after a later removal does not restore the object`() {
            catalog.apply(targets, listOf(changed("a", 10, deleted = true)))
            catalog.apply(targets, listOf(changed("a", 9)))
            assertNull(catalog.entry(targets, "a"))
        }
    }

    @Nested
    inner class `a listing` {
        @Test
        fun `a listing removes the objects that it does not contain`() {
            catalog.apply(targets, listOf(changed("a", 5)))
            catalog.applyListing(targets, StoreResponse.Listing(listOf(entry("b", 6)), asOfRevision = 7))
            assertEquals(listOf("b"), catalog.entries(targets).map { it.name })
        }

        @Test
        fun `a listing does not remove an object with a later change`() {
            catalog.apply(targets, listOf(changed("a", 9)))
            catalog.applyListing(targets, StoreResponse.Listing(emptyList(), asOfRevision = 7))
            assertNotNull(catalog.entry(targets, "a"))
        }
    }

    @Test
    fun `replicas are equal after the same changes in any order and with repetitions, for ten thousand seeds`() {
        repeat(SCHEDULES) { seed ->
            val random = Random(seed)
            val history =
                (1L..12L).map { revision ->
                    changed("n${random.nextInt(4)}", revision * 2, deleted = random.nextInt(4) == 0)
                }
            val expected = Catalog(listOf(targets)).also { it.apply(targets, history) }
            val shuffled = (history + history.filter { random.nextBoolean() }).shuffled(random)
            val actual =
                Catalog(listOf(targets)).also { replica -> shuffled.forEach { replica.apply(targets, listOf(it)) } }
            assertEquals(expected.entries(targets).toSet(), actual.entries(targets).toSet(), "seed $seed")
        }
    }

    private companion object {
        const val SCHEDULES = 10_000
    }
}
