/*
 * A batch as submitted and as the store keeps it, and its results.
 */
package io.guavashore.edge.batches

import io.guavashore.api.GroupId
import io.guavashore.api.OrganisationId
import io.guavashore.edge.declared.ModelId
import kotlinx.serialization.Serializable

/** Batch, by the id that its caller gave it. */
@JvmInline
@Serializable
value class BatchId(
    val value: String,
) {
    override fun toString() = value
}

/**
 * Item of a batch, by the id that its caller gave it; an item that was not finished may come again in another batch.
 */
@JvmInline
@Serializable
value class ItemId(
    val value: String,
) {
    override fun toString() = value
}

/**
 * Item as submitted.
 *
 * @property headers header fields of its request, as the caller gave them
 * @property bodyBase64 body of its request
 * @property promptTokens tokens of its prompt
 * @property maxOutputTokens upper bound of its output
 * @property expectedOutputTokens the caller's estimate, right at the median and often far off; null without one
 * @property scorer call that scores its text; null if the text alone is wanted
 */
@Serializable
data class ItemSpec(
    val id: ItemId,
    val path: String,
    val headers: Map<String, String>,
    val bodyBase64: String,
    val group: GroupId? = null,
    val promptTokens: Int = 0,
    val maxOutputTokens: Int = 0,
    val expectedOutputTokens: Int? = null,
    val scorer: ScorerSpec? = null,
)

/**
 * Batch as the store keeps it. Times are on the wall clock, since they outlive any process.
 *
 * @property digest hash of the submitted body; the same batch submitted again has the same one
 * @property desiredGroups complete groups that the trainer waits for; 0 means all
 * @property minVersion oldest version of the weights that may make its texts
 * @property itemIds ids of all items, also once [items] has been dropped at the batch's end
 */
@Serializable
data class BatchRecord(
    val organisation: OrganisationId,
    val host: String,
    val digest: String,
    val model: ModelId?,
    val step: Long?,
    val minVersion: Long,
    val desiredGroups: Int,
    val singleVersion: Boolean,
    val maxAttempts: Int,
    val dueAtMs: Long,
    val giveUpAtMs: Long,
    val keepUntilMs: Long,
    val itemIds: List<ItemId>,
    val items: List<ItemSpec>,
    val ended: Boolean = false,
) {
    /** The record once the batch has ended: bodies are no longer owed. */
    fun atItsEnd() = copy(ended = true, items = emptyList())
}

/** How an item ended. */
@Serializable
enum class ItemOutcome { COMPLETED, GIVEN_UP }

/**
 * Listed result of an item.
 *
 * @property versions every version of the weights that made an event of [text]
 * @property score receipt of the answer to the item's score call; null for an item without one
 */
@Serializable
data class ItemResult(
    val item: ItemId,
    val outcome: ItemOutcome,
    val text: String = "",
    val versions: List<Long> = emptyList(),
    val score: String? = null,
)

/** Results from one position on; [next] is the position after them. */
@Serializable
data class ResultPage(
    val total: Int,
    val results: List<ItemResult>,
    val next: Int,
)

/**
 * Results that were written to the store together; chunks of a batch are numbered without gaps.
 *
 * @property fence fencing number of the coordinator that wrote it; one with a lower number writes no more after it
 */
@Serializable
data class ResultChunk(
    val results: List<ItemResult>,
    val fence: Long = 0,
)
