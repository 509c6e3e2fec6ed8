/*
 * Messages exchanged with targets, as function types. An adapter implements them for a concrete wire format.
 */
package io.guavashore.edge.targets

import io.guavashore.api.OrganisationId
import io.guavashore.api.TargetId
import io.guavashore.edge.batches.ItemSpec
import io.guavashore.edge.batches.ScorerSpec
import io.guavashore.edge.declared.ModelId
import io.guavashore.edge.limits.RateStatement
import io.guavashore.net.HttpRequestMessage
import io.guavashore.net.ResponseHead

/**
 * Context of a request to a target; the target receives it in header fields.
 *
 * @property deadlineInMs time left until the deadline; null if there is none
 * @property lastEventId event after which the target resumes the stream; null for a new stream
 */
data class ForwardingContext(
    val target: TargetId,
    val organisation: OrganisationId?,
    val deadlineInMs: Long?,
    val lastEventId: Long? = null,
)

/**
 * Metadata in the header fields of a target's response. A property is null if the response does not set it.
 *
 * @property receipt signature by which the target confirms that the response is its own
 * @property notRun true if the target reports that it did not run the request
 * @property requestId id of the request to which this is the response
 * @property weightVersion version of the weights at the beginning of the response
 * @property load requests that run and wait at the target
 * @property unreadableLoad beginning of the stated load if it is malformed
 * @property rate what the response says about the rate of requests that the target takes
 * @property isAmbiguous true if the response states its receipt or a request id more than once
 */
data class ResponseMetadata(
    val receipt: String?,
    val notRun: Boolean,
    val requestId: String?,
    val weightVersion: Long?,
    val load: ReportedLoad?,
    val rate: RateStatement = RateStatement.Unlimited,
    val isAmbiguous: Boolean = false,
    val unreadableLoad: String? = null,
) {
    val isGenuine: Boolean get() = receipt != null
}

/**
 * Load that a target reports.
 *
 * @property running number of requests that run
 * @property waiting number of requests that wait
 * @property slots number of requests that run concurrently at most
 * @property slowdown duration of work now, relative to the usual one; null if the target does not state it
 */
data class ReportedLoad(
    val running: Int,
    val waiting: Int,
    val slots: Int,
    val slowdown: Double? = null,
)

/**
 * Order to load weights.
 *
 * @property keepRunning true if running requests continue while the weights are loaded
 * @property holder holder of the coordinator's lease
 * @property expectedOrders number of orders that the engine must have accepted before; null if it is not checked
 */
data class WeightOrder(
    val model: ModelId,
    val version: Long,
    val keepRunning: Boolean,
    val holder: String,
    val fencingNumber: Long,
    val expectedOrders: Long?,
)

/**
 * State of an engine, as reported on request.
 *
 * @property ordersTaken number of orders that the engine has accepted since its start
 * @property bornAtMs start of the engine's process, in Unix milliseconds; null if it is not stated
 */
data class EngineReport(
    val versions: Map<ModelId, Long>,
    val isBusy: Boolean,
    val ordersTaken: Long,
    val bornAtMs: Long? = null,
)

/** Encodes requests to targets and decodes their responses. */
class TargetProtocol(
    val forwardedRequest: (request: HttpRequestMessage, context: ForwardingContext) -> HttpRequestMessage,
    val itemRequest: (item: ItemSpec, host: String, context: ForwardingContext) -> HttpRequestMessage,
    val scoreRequest: (scorer: ScorerSpec, context: ForwardingContext) -> HttpRequestMessage,
    val metadata: (ResponseHead) -> ResponseMetadata,
    /** True if the response announces that its target is leaving and will take no more requests. */
    val announcesLeaving: (ResponseHead) -> Boolean,
    /** Returns the header fields of a response that are forwarded to the caller. */
    val responseHeaders: (ResponseHead) -> io.guavashore.net.Headers,
    /** Parses a line of an event stream that states the version of the weights; null for any other line. */
    val eventVersion: (line: String) -> Long?,
    val control: ControlProtocol,
)

/** Encodes and decodes the messages of control calls to engines. */
class ControlProtocol(
    val order: (target: TargetId, order: WeightOrder) -> HttpRequestMessage,
    val reportRequest: (target: TargetId) -> HttpRequestMessage,
    /** Decodes a report; null if it is malformed. */
    val report: (body: ByteArray) -> EngineReport?,
)
