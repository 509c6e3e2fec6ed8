package io.guavashore.edge.targets

import io.guavashore.api.Endpoint
import io.guavashore.api.ServiceId
import io.guavashore.api.TargetId
import io.guavashore.api.ZoneId
import io.guavashore.edge.declared.SoftwareVersion
import io.guavashore.edge.declared.TargetEntry
import io.guavashore.platform.EntryChange
import io.guavashore.platform.StoredEntry
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class TargetDirectoryTest {
    private var nowMs = 0L
    private var storeUnavailable = false
    private val id = TargetId("w1")

    /** The content of an entry is the start time of its target, followed by "leaving" if the target is leaving. */
    private val directory = TargetDirectory(::decode, { nowMs }, { storeUnavailable })

    private fun decode(entry: StoredEntry) =
        TargetEntry(
            id = TargetId(entry.name),
            service = ServiceId("prices"),
            endpoint = Endpoint("127.0.0.1", 1),
            zone = ZoneId("z1"),
            slots = 4,
            isLeaving = entry.content.endsWith("leaving"),
            software = SoftwareVersion("v1"),
            bornAtMs = entry.content.substringBefore(' ').toLong(),
        )

    private fun applyEntry(
        content: String,
        deleted: Boolean = false,
    ) = directory.apply(EntryChange(StoredEntry(id.value, 1, content), deleted))

    private fun usable() = directory.usable().map { it.id }

    @Nested
    inner class `a target that announced in a response that it is leaving` {
        @Test
        fun `a leaving target gets no more requests even if its entry says that it is ready`() {
            applyEntry("100")
            assertTrue(directory.recordLeaving(id, 100))
            assertEquals(emptyList(), usable())
            applyEntry("100")
            assertEquals(emptyList(), usable(), "a renewed entry does not make the target usable again")
        }

        @Test
        fun `only the first announcement of leaving is reported as new`() {
            applyEntry("100")
            assertTrue(directory.recordLeaving(id, 100))
            assertFalse(directory.recordLeaving(id, 100))
        }

        @Test
        fun `a target is used again once a new process runs under its id`() {
            applyEntry("100")
            directory.recordLeaving(id, 100)
            applyEntry("200")
            assertEquals(listOf(id), usable())
        }

        @Test
        fun `a leaving target is used again once its entry was removed and added again`() {
            applyEntry("100")
            directory.recordLeaving(id, 100)
            applyEntry("100", deleted = true)
            applyEntry("100")
            assertEquals(listOf(id), usable())
        }

        @Test
        fun `a leaving target is removed at once if its entry lapses during a store outage`() {
            applyEntry("100")
            directory.recordLeaving(id, 100)
            storeUnavailable = true
            applyEntry("100", deleted = true)
            assertEquals(emptyList(), directory.all().toList())
        }

        @Test
        fun `a target that announced leaving before its entry arrived is not used`() {
            directory.recordLeaving(id, 100)
            applyEntry("100")
            assertEquals(emptyList(), usable())
        }

        @Test
        fun `an announcement by an earlier process does not affect the current one`() {
            applyEntry("200")
            assertFalse(directory.recordLeaving(id, 100))
            assertEquals(listOf(id), usable())
        }
    }

    @Test
    fun `a target is no longer used once its entry says that it is leaving`() {
        applyEntry("100")
        applyEntry("100 leaving")
        assertEquals(emptyList(), usable())
    }

    @Test
    fun `a target whose entry lapsed during a store outage is used for two more seconds`() {
        applyEntry("100")
        storeUnavailable = true
        applyEntry("100", deleted = true)
        nowMs = 1_999
        assertEquals(listOf(id), usable())
        nowMs = 2_000
        assertEquals(emptyList(), usable())
    }

    @Test
    fun `a target whose entry is removed while the store is available is no longer used`() {
        applyEntry("100")
        applyEntry("100", deleted = true)
        assertEquals(emptyList(), usable())
    }
}
