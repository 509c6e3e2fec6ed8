/*
 * Entry point for callers' requests: finds the route, checks the API key, and dispatches to the forwarder or to the
 * batch calls.
 */
package io.guavashore.edge.front

import com.github.michaelbull.result.map
import io.github.oshai.kotlinlogging.KotlinLogging
import io.guavashore.api.MonotonicClock
import io.guavashore.api.OrganisationId
import io.guavashore.api.WallClock
import io.guavashore.edge.batches.BatchGateway
import io.guavashore.edge.batches.BatchId
import io.guavashore.edge.batches.BatchRecord
import io.guavashore.edge.batches.BatchRefusal
import io.guavashore.edge.declared.EdgeDeclaration
import io.guavashore.edge.declared.Route
import io.guavashore.edge.declared.RouteKind
import io.guavashore.edge.forward.ForwardedCall
import io.guavashore.edge.forward.Forwarder
import io.guavashore.metrics.Metrics
import io.guavashore.net.HttpExchange
import io.guavashore.net.HttpResponseMessage

private val log = KotlinLogging.logger {}

/** Frontend of one VM; [declared] returns null until the first declaration has been received. */
class Frontend(
    private val declared: () -> EdgeDeclaration?,
    private val protocol: CallerProtocol,
    private val forwarder: Forwarder,
    private val batchGateway: BatchGateway,
    private val metrics: Metrics,
    private val clock: MonotonicClock,
    private val wallClock: WallClock,
    /** Monotonic time at which the VM ends; null unless it is stopping. */
    private val stopsAtMs: () -> Long?,
) {
    /** Handles a request; [isRelayed] is true if another VM received it from the caller and relayed it here. */
    suspend fun handle(
        exchange: HttpExchange,
        isRelayed: Boolean = false,
    ) {
        val metadata = protocol.metadata(exchange.request)
        val declaration = declared()
        if (declaration == null) {
            return refuse(exchange, metadata, UNAVAILABLE, "no declaration received yet", STARTUP_RETRY_AFTER_MS)
        }
        val host = exchange.request.headers["Host"].orEmpty()
        val batchCall = protocol.batchCall(exchange.request)
        if (batchCall != null && declaration.hasHost(host)) {
            return handleBatchCall(exchange, metadata, declaration, batchCall)
        }
        val route = declaration.route(host, exchange.request.path)
        if (route == null) return refuse(exchange, metadata, NOT_FOUND, "no route is declared for this host and path")
        val organisation = declaration.organisationOf(metadata)
        if (organisation == null && declaration.requiresKeys && !route.isPublic) {
            return refuse(
                exchange,
                metadata,
                UNAUTHORIZED,
                "API key missing or unknown in declaration ${declaration.version}",
            )
        }
        if (route.kind == RouteKind.BATCH) return submit(exchange, metadata, declaration, route, organisation)
        val call =
            ForwardedCall(exchange, metadata, route, organisation, deadlineMs(metadata, route), isRelayed)
        forwardUnlessStopping(call)
    }

    private suspend fun forwardUnlessStopping(call: ForwardedCall) {
        val stopMs = stopsAtMs() ?: return forwarder.forward(call)
        if (!isTakenBeforeStop(call.route, call.deadlineMs - clock(), stopMs - clock())) {
            return refuse(call.exchange, call.metadata, UNAVAILABLE, "this VM is stopping", STOPPING_RETRY_AFTER_MS)
        }
        forwarder.forward(call.endingBy(stopMs))
    }

    private suspend fun handleBatchCall(
        exchange: HttpExchange,
        metadata: RequestMetadata,
        declaration: EdgeDeclaration,
        call: BatchCall,
    ) {
        val organisation = declaration.organisationOf(metadata)
        if (organisation == null && declaration.requiresKeys) {
            return refuse(
                exchange,
                metadata,
                UNAUTHORIZED,
                "API key missing or unknown in declaration ${declaration.version}",
            )
        }
        val owner = organisation ?: NO_ORGANISATION
        val outcome =
            when (call) {
                is BatchCall.ReadResults ->
                    batchGateway
                        .read(
                            call.batch,
                            owner,
                            call.after,
                            minOf(call.waitMs, maxWaitMs()),
                        ).map(protocol.resultPage)
                is BatchCall.ReadBody ->
                    batchGateway
                        .body(call.batch, owner, call.item)
                        .map { HttpResponseMessage(OK, body = it) }
                is BatchCall.End ->
                    batchGateway
                        .end(call.batch, owner)
                        .map { HttpResponseMessage(OK) }
            }
        if (outcome.isOk) exchange.respond(outcome.value) else reject(exchange, metadata, outcome.error)
    }

    private suspend fun submit(
        exchange: HttpExchange,
        metadata: RequestMetadata,
        declaration: EdgeDeclaration,
        route: Route,
        organisation: OrganisationId?,
    ) {
        val read = protocol.submission(exchange.request, route, organisation ?: NO_ORGANISATION, wallClock())
        if (read.isErr) return refuse(exchange, metadata, BAD_REQUEST, read.error.message)
        val (id: BatchId, record: BatchRecord) = read.value
        submissionProblem(record, declaration)?.let { return refuse(exchange, metadata, BAD_REQUEST, it.message) }
        val startedMs = clock()
        val deadlineMs = minOf(deadlineMs(metadata, route), clock() + SUBMIT_TIMEOUT_MS)
        val outcome = batchGateway.submit(id, record, deadlineMs)
        metrics.count("batches", "outcome" to if (outcome.isOk) "accepted" else outcome.error.name.lowercase())
        metrics.time("batch.submission", clock() - startedMs, organisation ?: NO_ORGANISATION, route.id.value)
        if (outcome.isOk) exchange.respond(HttpResponseMessage(ACCEPTED)) else reject(exchange, metadata, outcome.error)
    }

    private fun reject(
        exchange: HttpExchange,
        metadata: RequestMetadata,
        refusal: BatchRefusal,
    ) = when (refusal) {
        BatchRefusal.NOT_ACCEPTED ->
            refuse(exchange, metadata, UNAVAILABLE, "the batch was not stored", STORE_RETRY_AFTER_MS)
        BatchRefusal.UNCERTAIN ->
            refuse(exchange, metadata, GATEWAY_TIMEOUT, "it is unknown whether the call took effect")
        BatchRefusal.CONTENT_DIFFERS ->
            refuse(exchange, metadata, CONFLICT, "a batch with this id and different content exists")
        BatchRefusal.UNKNOWN ->
            refuse(exchange, metadata, NOT_FOUND, "no such batch or item")
        BatchRefusal.CANNOT_TELL ->
            refuse(exchange, metadata, UNAVAILABLE, "the batch could not be looked up", STORE_RETRY_AFTER_MS)
    }

    private fun refuse(
        exchange: HttpExchange,
        metadata: RequestMetadata,
        status: Int,
        message: String,
        retryAfterMs: Long? = null,
    ) {
        log.info {
            "request refused: request=${metadata.requestId} status=$status reason=$message uri=${exchange.request.uri}"
        }
        metrics.count("refusals", "status" to status.toString())
        exchange.respond(protocol.refusal(status, message, retryAfterMs, metadata))
    }

    /** Upper bound on the wait for a result, which must end before the VM does. */
    private fun maxWaitMs(): Long {
        val stopMs = stopsAtMs() ?: return MAX_WAIT_MS
        return (stopMs - clock()).coerceIn(0, MAX_WAIT_MS)
    }

    private fun deadlineMs(
        metadata: RequestMetadata,
        route: Route,
    ): Long = clock() + minOf(metadata.deadlineInMs ?: Long.MAX_VALUE / 2, route.timeoutMs)

    private fun EdgeDeclaration.organisationOf(metadata: RequestMetadata): OrganisationId? =
        metadata.apiKey?.let { organisationByKey[it] }

    private companion object {
        const val OK = 200
        const val ACCEPTED = 202
        const val BAD_REQUEST = 400
        const val UNAUTHORIZED = 401
        const val NOT_FOUND = 404
        const val CONFLICT = 409
        const val UNAVAILABLE = 503
        const val GATEWAY_TIMEOUT = 504

        /** Owner of all batches if the declaration has no organisations. */
        val NO_ORGANISATION = OrganisationId("")

        /** A VM receives the declaration within about this time after its start. */
        const val STARTUP_RETRY_AFTER_MS = 300L

        /** Another VM serves the request at once. */
        const val STOPPING_RETRY_AFTER_MS = 10L

        /** The store rejects calls only for short periods. */
        const val STORE_RETRY_AFTER_MS = 400L

        /** Upper bound on the wait for a result that a caller may request. */
        const val MAX_WAIT_MS = 5_000L

        /** A submission usually takes a few milliseconds; beyond this the caller should submit to another VM. */
        const val SUBMIT_TIMEOUT_MS = 3_000L
    }
}
