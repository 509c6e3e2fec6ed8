/*
 * Entrance for callers: finds the route, checks the key, and hands the request to the part that serves it.
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
import io.guavashore.edge.declared.Route
import io.guavashore.edge.declared.RouteKind
import io.guavashore.edge.declared.EdgeDeclaration
import io.guavashore.edge.forward.ForwardedCall
import io.guavashore.edge.forward.Forwarder
import io.guavashore.metrics.Metrics
import io.guavashore.net.HttpResponseMessage
import io.guavashore.net.HttpExchange

private val log = KotlinLogging.logger {}

/** Entrance of one VM. */
class Frontend(
    private val declared: () -> EdgeDeclaration?,
    private val protocol: CallerProtocol,
    private val forwarder: Forwarder,
    private val batchGateway: BatchGateway,
    private val metrics: Metrics,
    private val clock: MonotonicClock,
    private val wallClock: WallClock,
) {
    suspend fun handle(exchange: HttpExchange) {
        val metadata = protocol.metadata(exchange.request)
        val map = declared()
        if (map == null) return refuse(exchange, metadata, UNAVAILABLE, "no declaration is known yet", STARTING_RETRY_MS)
        val host = exchange.request.headers["Host"].orEmpty()
        val batchCall = protocol.batchCall(exchange.request)
        if (batchCall != null && map.hasHost(host)) return handleBatchCall(exchange, metadata, map, batchCall)
        val route = map.route(host, exchange.request.path)
        if (route == null) return refuse(exchange, metadata, NOT_FOUND, "no route for this host and path")
        val organisation = map.organisationOf(metadata)
        if (organisation == null && map.requiresKeys && !route.isPublic) {
            return refuse(exchange, metadata, UNAUTHORIZED, "the key is missing or not known (declaration ${map.version})")
        }
        if (route.kind == RouteKind.BATCH) return submit(exchange, metadata, map, route, organisation)
        forwarder.forward(ForwardedCall(exchange, metadata, route, organisation, deadlineMs(metadata, route)))
    }

    private suspend fun handleBatchCall(
        exchange: HttpExchange,
        metadata: RequestMetadata,
        map: EdgeDeclaration,
        call: BatchCall,
    ) {
        val organisation = map.organisationOf(metadata)
        if (organisation == null && map.requiresKeys) {
            return refuse(exchange, metadata, UNAUTHORIZED, "the key is missing or not known (declaration ${map.version})")
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
                            minOf(call.waitMs, LONGEST_WAIT_MS),
                        ).map(protocol.resultPage)
                is BatchCall.ReadBody -> batchGateway.body(call.batch, owner, call.item).map { HttpResponseMessage(OK, body = it) }
                is BatchCall.End -> batchGateway.end(call.batch, owner).map { HttpResponseMessage(OK) }
            }
        if (outcome.isOk) exchange.respond(outcome.value) else reject(exchange, metadata, outcome.error)
    }

    private suspend fun submit(
        exchange: HttpExchange,
        metadata: RequestMetadata,
        map: EdgeDeclaration,
        route: Route,
        organisation: OrganisationId?,
    ) {
        val read = protocol.submission(exchange.request, route, organisation ?: NO_ORGANISATION, wallClock())
        if (read.isErr) return refuse(exchange, metadata, BAD_REQUEST, read.error.message)
        val (id: BatchId, record: BatchRecord) = read.value
        submissionProblem(record, map)?.let { return refuse(exchange, metadata, BAD_REQUEST, it.message) }
        val startedMs = clock()
        val deadlineMs = minOf(deadlineMs(metadata, route), clock() + SUBMIT_TIME_MS)
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
        BatchRefusal.NOT_ACCEPTED -> refuse(exchange, metadata, UNAVAILABLE, "the batch was not stored", STORE_RETRY_MS)
        BatchRefusal.UNCERTAIN -> refuse(exchange, metadata, GATEWAY_TIMEOUT, "whether the batch was stored is not known")
        BatchRefusal.CONTENT_DIFFERS -> refuse(exchange, metadata, CONFLICT, "a batch of this id has other content")
        BatchRefusal.UNKNOWN -> refuse(exchange, metadata, NOT_FOUND, "no such batch or item")
        BatchRefusal.CANNOT_TELL -> refuse(exchange, metadata, UNAVAILABLE, "the batch can't be looked up", STORE_RETRY_MS)
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

        /** Batches on a declaration without organisations belong to nobody in particular. */
        val NO_ORGANISATION = OrganisationId("")

        /** A VM learns the declaration within about this time of its start. */
        const val STARTING_RETRY_MS = 300L

        /** The store refuses calls for short bursts. */
        const val STORE_RETRY_MS = 400L

        /** Longest wait for a result, whatever the caller asks for. */
        const val LONGEST_WAIT_MS = 5_000L

        /** After this the caller does better to submit at another VM; acceptance takes some milliseconds usually. */
        const val SUBMIT_TIME_MS = 3_000L
    }
}
