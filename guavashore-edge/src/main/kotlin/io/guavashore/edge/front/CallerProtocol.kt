/*
 * What callers say and expect, as function types that an adapter fills in.
 */
package io.guavashore.edge.front

import com.github.michaelbull.result.Result
import io.guavashore.api.OrganisationId
import io.guavashore.edge.batches.BatchId
import io.guavashore.edge.batches.BatchRecord
import io.guavashore.edge.batches.ItemId
import io.guavashore.edge.batches.ResultPage
import io.guavashore.edge.declared.Route
import io.guavashore.net.HttpResponseMessage
import io.guavashore.net.HttpRequestMessage

/**
 * What a caller's request says of itself.
 *
 * @property deadlineInMs how long the caller will wait, counted from the request's arrival; null if it does not say
 * @property lastEventId event after which a stream is to go on
 */
data class RequestMetadata(
    val requestId: String?,
    val apiKey: String?,
    val deadlineInMs: Long?,
    val lastEventId: Long?,
)

/** Call about a batch that was submitted before. */
sealed interface BatchCall {
    val batch: BatchId

    /** Read results from position [after] on; wait up to [waitMs] until there is one. */
    data class ReadResults(
        override val batch: BatchId,
        val after: Int,
        val waitMs: Long,
    ) : BatchCall

    data class ReadBody(
        override val batch: BatchId,
        val item: ItemId,
    ) : BatchCall

    data class End(
        override val batch: BatchId,
    ) : BatchCall
}

/** A submission that can't be read, in words for its caller. */
data class BadSubmission(
    val message: String,
)

/** Reads requests of callers and writes answers to them. */
class CallerProtocol(
    val metadata: (HttpRequestMessage) -> RequestMetadata,
    /** The batch call that the request is, or null if it is none. */
    val batchCall: (HttpRequestMessage) -> BatchCall?,
    /** Reads a submission that arrived at [Route]; wall time is that of its arrival. */
    val submission: (
        request: HttpRequestMessage,
        route: Route,
        organisation: OrganisationId,
        wallMs: Long,
    ) -> Result<Pair<BatchId, BatchRecord>, BadSubmission>,
    val resultPage: (ResultPage) -> HttpResponseMessage,
    /** Refusal with a status, a message, and the time after which to come back, if that makes sense. */
    val refusal: (status: Int, message: String, retryAfterMs: Long?, request: RequestMetadata) -> HttpResponseMessage,
)
