/*
 * What targets understand, as function types that an adapter fills in.
 */
package io.guavashore.edge.targets

import io.guavashore.api.OrganisationId
import io.guavashore.api.TargetId
import io.guavashore.edge.batches.ItemSpec
import io.guavashore.edge.batches.ScorerSpec
import io.guavashore.edge.declared.ModelId
import io.guavashore.net.ResponseHead
import io.guavashore.net.HttpRequestMessage

/** Terms under which a caller's request is passed on. [deadlineInMs] is the time left, as the wire wants it. */
data class ForwardingContext(
    val target: TargetId,
    val organisation: OrganisationId?,
    val deadlineInMs: Long?,
    val lastEventId: Long? = null,
)

/**
 * What a target's answer says beside its body.
 *
 * @property receipt what the target vouches for the answer with; null if it does not
 * @property notRun true if the target says that it did not run the request
 * @property requestId id of the request that it answers, if it says so
 * @property weightVersion version of the weights at the answer's beginning
 * @property load requests that run and wait there
 */
data class ResponseMetadata(
    val receipt: String?,
    val notRun: Boolean,
    val requestId: String?,
    val weightVersion: Long?,
    val load: ReportedLoad?,
) {
    val isGenuine: Boolean get() = receipt != null
}

data class ReportedLoad(
    val running: Int,
    val waiting: Int,
    val slots: Int,
)

/** Order to load weights. [expectedOrders] is the number of orders that the engine must have taken so far. */
data class WeightOrder(
    val model: ModelId,
    val version: Long,
    val keepRunning: Boolean,
    val holder: String,
    val fencingNumber: Long,
    val expectedOrders: Long?,
)

/** State that an engine reports when it is asked. */
data class EngineReport(
    val versions: Map<ModelId, Long>,
    val isBusy: Boolean,
    val ordersTaken: Long,
)

/** Builds and reads messages of targets. */
class TargetProtocol(
    val forwardedRequest: (request: HttpRequestMessage, terms: ForwardingContext) -> HttpRequestMessage,
    val itemRequest: (item: ItemSpec, host: String, terms: ForwardingContext) -> HttpRequestMessage,
    val scoreRequest: (scorer: ScorerSpec, terms: ForwardingContext) -> HttpRequestMessage,
    val metadata: (ResponseHead) -> ResponseMetadata,
    /** True if an answer says that its target takes no more requests soon. */
    val saysLeaving: (ResponseHead) -> Boolean,
    val responseHeaders: (ResponseHead) -> io.guavashore.net.Headers,
    val eventVersion: (line: String) -> Long?,
    val control: ControlProtocol,
)

/** Builds and reads messages that control engines. */
class ControlProtocol(
    val order: (target: TargetId, order: WeightOrder) -> HttpRequestMessage,
    val reportRequest: (target: TargetId) -> HttpRequestMessage,
    val report: (body: ByteArray) -> EngineReport?,
)
