package io.guavashore.edge.batches

import io.guavashore.api.VmId
import io.guavashore.edge.declared.ModelId
import io.guavashore.edge.declared.SoftwareVersion
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor
import kotlin.test.Test
import kotlin.test.assertEquals

/** Texts that are kept for items of later batches, and for a successor of the coordinator. */
class ResumableTextsTest {
    private val texts = ResumableTexts()
    private val spec = itemSpec("a").copy(headers = mapOf("Size" to "9"), bodyBase64 = "q83v")

    /** Form of a text part that VMs of earlier versions send and read. */
    @Serializable
    private class EarlierTextPart(
        val item: ItemId,
        val from: Int,
        val events: List<TextEvent>,
        @SerialName("isWhole")
        val isTextComplete: Boolean,
        val score: Score? = null,
    )

    /** Batches that differ from `batch("b", listOf(spec))` in what determines the output of their item. */
    private val otherBatches =
        mapOf(
            "id" to batch("b", listOf(spec.copy(id = ItemId("a2")))),
            "organisation" to batch("b", listOf(spec), organisation = "dyers"),
            "host" to batch("b", listOf(spec), host = "other"),
            "model" to batch("b", listOf(spec), model = ModelId("m1")),
            "path" to batch("b", listOf(spec.copy(path = "/rollouts/other"))),
            "header" to batch("b", listOf(spec.copy(headers = mapOf("Size" to "10")))),
            "further header" to batch("b", listOf(spec.copy(headers = spec.headers + ("Kind" to "x")))),
            "body" to batch("b", listOf(spec.copy(bodyBase64 = "q83w"))),
        )

    private fun generate(
        batch: BatchState,
        ids: IntRange = 1..2,
        run: String = "t",
    ) = batch.also {
        val progress = it.items.single().progress
        ids.forEach { id -> progress.add(TextEvent(id.toLong(), "$run$id", version = 1, SoftwareVersion("v1"))) }
    }

    private fun resumedText(batch: BatchState): String {
        texts.resume(batch, nowMs = 0)
        return batch.items
            .single()
            .progress
            .text()
    }

    private fun replicate(batch: BatchState) =
        TextReplicator().partsFor(VmId("standby"), batch.items).forEach(texts::add)

    /** Guards against results that begin with the text of another organisation's or trainer's item of the same id. */
    @Test
    fun `a kept text is resumed by the same item only, whatever differs`() {
        texts.keep(generate(batch("earlier", listOf(spec))))
        otherBatches.forEach { (difference, batch) -> assertEquals("", resumedText(batch), difference) }
        assertEquals("t1\nt2", resumedText(batch("b", listOf(spec))))
    }

    @Test
    fun `a replicated text is resumed by the same item only, whatever differs`() {
        replicate(generate(batch("earlier", listOf(spec))))
        otherBatches.forEach { (difference, batch) -> assertEquals("", resumedText(batch), difference) }
        assertEquals("t1\nt2", resumedText(batch("b", listOf(spec))))
    }

    @Test
    fun `the texts of items with the same id are replicated side by side`() {
        val own = batch("b1", listOf(spec))
        val other = otherBatches.getValue("organisation")
        val replicator = TextReplicator()
        for (id in 1..2) {
            generate(own, id..id, run = "own-")
            generate(other, id..id, run = "other-")
            replicator.partsFor(VmId("standby"), own.items + other.items).forEach(texts::add)
        }
        assertEquals("own-1\nown-2", resumedText(batch("b2", listOf(spec))))
        assertEquals("other-1\nother-2", resumedText(batch("b3", listOf(spec), organisation = "dyers")))
    }

    @Test
    fun `a listed item takes the kept text of the same item only`() {
        texts.keep(generate(batch("earlier", listOf(spec))))
        val other = otherBatches.getValue("body")
        other.applyChunk(ResultChunk(listOf(ItemResult(spec.id, ItemOutcome.COMPLETED))))
        texts.removeListed(other)
        assertEquals("t1\nt2", resumedText(batch("b", listOf(spec))))
    }

    @OptIn(ExperimentalSerializationApi::class)
    @Test
    fun `a part of an earlier version is read but not resumed, and it reads the parts of this one`() {
        val cbor = Cbor { ignoreUnknownKeys = true }
        val item = generate(batch("earlier", listOf(spec))).items.single()
        val earlier = EarlierTextPart(spec.id, from = 0, item.progress.events(), isTextComplete = false)
        val bytes = cbor.encodeToByteArray(EarlierTextPart.serializer(), earlier)
        texts.add(cbor.decodeFromByteArray(TextPart.serializer(), bytes))
        assertEquals("", resumedText(batch("b", listOf(spec))))

        val part = TextReplicator().partsFor(VmId("standby"), listOf(item)).single()
        val read =
            cbor.decodeFromByteArray(
                EarlierTextPart.serializer(),
                cbor.encodeToByteArray(TextPart.serializer(), part),
            )
        assertEquals(item.progress.events(), read.events)
    }
}
