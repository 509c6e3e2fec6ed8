package io.guavashore.edge.batches

import io.guavashore.api.VmId
import io.guavashore.edge.declared.SoftwareVersion
import kotlin.test.Test
import kotlin.test.assertEquals

/** Texts as a standby VM holds them, which resumes the items if it takes over. */
class TextReplicationTest {
    private val standby = VmId("standby")
    private val replicator = TextReplicator()
    private val texts = ResumableTexts()
    private val item = batch("b", listOf(itemSpec("a"))).items.single()

    private fun generate(
        run: String,
        ids: IntRange,
    ) = ids.forEach { item.progress.add(TextEvent(it.toLong(), "$run-$it", version = 1, SoftwareVersion("v1"))) }

    private fun replicate() = replicator.partsFor(standby, listOf(item)).forEach(texts::add)

    /** Text from which the standby resumes the item. */
    private fun resumedText(): String {
        val successor = batch("b", listOf(itemSpec("a")))
        texts.resume(successor, nowMs = 0)
        return successor.items
            .single()
            .progress
            .text()
    }

    @Test
    fun `a text that was generated anew between two messages is replaced and not continued`() {
        generate("first", 1..2)
        replicate()
        item.progress.clear()
        generate("second", 1..3)
        replicate()
        assertEquals("second-1\nsecond-2\nsecond-3", resumedText())
    }

    @Test
    fun `a text that grows is continued`() {
        generate("first", 1..2)
        replicate()
        generate("first", 3..3)
        replicate()
        assertEquals("first-1\nfirst-2\nfirst-3", resumedText())
    }
}
