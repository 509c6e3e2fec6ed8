package io.guavashore.edge.targets

import io.guavashore.api.Endpoint
import io.guavashore.api.ServiceId
import io.guavashore.api.TargetId
import io.guavashore.api.ZoneId
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
    private var storeIsAway = false
    private val id = TargetId("w1")

    /** Content of an entry here: its start, and "leaving" behind it for one that leaves. */
    private val directory = TargetDirectory(::decode, { nowMs }, { storeIsAway })

    private fun decode(entry: StoredEntry) =
        TargetEntry(
            id = TargetId(entry.name),
            service = ServiceId("prices"),
            endpoint = Endpoint("127.0.0.1", 1),
            zone = ZoneId("z1"),
            slots = 4,
            isLeaving = entry.content.endsWith("leaving"),
            bornAtMs = entry.content.substringBefore(' ').toLong(),
        )

    private fun listed(
        content: String,
        deleted: Boolean = false,
    ) = directory.apply(EntryChange(StoredEntry(id.value, 1, content), deleted))

    private fun usable() = directory.usable().map { it.id }

    @Nested
    inner class `a target that said in an answer that it leaves` {
        @Test
        fun `gets no more requests, though its entry says that it is ready`() {
            listed("100")
            assertTrue(directory.saysLeaving(id, 100))
            assertEquals(emptyList(), usable())
            listed("100")
            assertEquals(emptyList(), usable(), "a heartbeat does not take it back")
        }

        @Test
        fun `is news once`() {
            listed("100")
            assertTrue(directory.saysLeaving(id, 100))
            assertFalse(directory.saysLeaving(id, 100))
        }

        @Test
        fun `is used again once another process has taken its place`() {
            listed("100")
            directory.saysLeaving(id, 100)
            listed("200")
            assertEquals(listOf(id), usable())
        }

        @Test
        fun `is used again once its entry was removed and came back`() {
            listed("100")
            directory.saysLeaving(id, 100)
            listed("100", deleted = true)
            listed("100")
            assertEquals(listOf(id), usable())
        }

        @Test
        fun `is gone at once if its entry lapses in an outage of the store`() {
            listed("100")
            directory.saysLeaving(id, 100)
            storeIsAway = true
            listed("100", deleted = true)
            assertEquals(emptyList(), directory.all().toList())
        }

        @Test
        fun `may be heard of before its entry is`() {
            directory.saysLeaving(id, 100)
            listed("100")
            assertEquals(emptyList(), usable())
        }

        @Test
        fun `is not the process that runs under its id now`() {
            listed("200")
            assertFalse(directory.saysLeaving(id, 100))
            assertEquals(listOf(id), usable())
        }
    }

    @Test
    fun `an entry that says that its target leaves ends its use`() {
        listed("100")
        listed("100 leaving")
        assertEquals(emptyList(), usable())
    }

    @Test
    fun `an entry that lapsed in an outage stays in use for two seconds`() {
        listed("100")
        storeIsAway = true
        listed("100", deleted = true)
        nowMs = 1_999
        assertEquals(listOf(id), usable())
        nowMs = 2_000
        assertEquals(emptyList(), usable())
    }

    @Test
    fun `an entry that is removed in quiet times ends its target's use at once`() {
        listed("100")
        listed("100", deleted = true)
        assertEquals(emptyList(), usable())
    }
}
