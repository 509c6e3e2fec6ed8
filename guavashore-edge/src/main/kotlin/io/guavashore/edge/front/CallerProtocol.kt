/*
 * Messages exchanged with callers, as function types. An adapter implements them for a concrete wire format.
 */
package io.guavashore.edge.front

import com.github.michaelbull.result.Result
import io.guavashore.api.OrganisationId
import io.guavashore.edge.batches.BatchId
import io.guavashore.edge.batches.BatchRecord
import io.guavashore.edge.batches.ItemId
import io.guavashore.edge.batches.ResultPage
import io.guavashore.edge.declared.Route
import io.guavashore.edge.streams.StreamId
import io.guavashore.net.HttpRequestMessage
import io.guavashore.net.HttpResponseMessage

/**
 * Metadata in the header fields of a caller's request. A property is null if the request does not set it.
 *
 * @property deadlineInMs time that the caller waits for the response, counted from the arrival of the request
 * @property lastEventId id of the last event that the caller has received; the stream resumes after it
 * @property resumes id of the request that brought the first event of the stream that the caller resumes
 */
data class RequestMetadata(
    val requestId: String?,
    val apiKey: String?,
    val deadlineInMs: Long?,
    val lastEventId: Long?,
    val resumes: String? = null,
)

/** Resumption of [stream] after event [lastEventId]. */
data class Resumption(
    val stream: StreamId,
    val lastEventId: Long,
)

/** Call that refers to a batch submitted earlier. */
sealed interface BatchCall {
    val batch: BatchId

    /** Reads the results that follow position [after]; waits up to [waitMs] if there is none yet. */
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

/** Reason for which a submission is rejected; [message] is sent to the caller. */
data class BadSubmission(
    val message: String,
)

/** Decodes the requests of callers and encodes the responses to them. */
class CallerProtocol(
    val metadata: (HttpRequestMessage) -> RequestMetadata,
    /** Encodes a caller's request for another VM, which handles it like one of its own callers. */
    val relayedRequest: (
        request: HttpRequestMessage,
        deadlineInMs: Long,
        resumption: Resumption?,
    ) -> HttpRequestMessage,
    /** Decodes a [BatchCall]; null if the request is not one. */
    val batchCall: (HttpRequestMessage) -> BatchCall?,
    /** Decodes a submission that arrived on a route; `wallMs` is the wall time of its arrival. */
    val submission: (
        request: HttpRequestMessage,
        route: Route,
        organisation: OrganisationId,
        wallMs: Long,
    ) -> Result<Pair<BatchId, BatchRecord>, BadSubmission>,
    val resultPage: (ResultPage) -> HttpResponseMessage,
    /** Encodes an error response; `retryAfterMs` is null if a retry makes no sense. */
    val refusal: (status: Int, message: String, retryAfterMs: Long?, request: RequestMetadata) -> HttpResponseMessage,
)
