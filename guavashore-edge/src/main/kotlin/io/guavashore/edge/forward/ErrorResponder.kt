/*
 * Error responses to calls that no target has served.
 */
package io.guavashore.edge.forward

import io.github.oshai.kotlinlogging.KotlinLogging
import io.guavashore.edge.front.CallerProtocol
import io.guavashore.metrics.Metrics
import io.guavashore.net.HttpResponseMessage

private val log = KotlinLogging.logger {}

/** Sends error responses to callers, and counts the outcomes of calls. */
class ErrorResponder(
    private val callers: CallerProtocol,
    private val metrics: Metrics,
) {
    /**
     * Responds that the request has not run; [retryAfterMs] is the time after which to retry, null if unknown, and
     * [reason] the label by which refusals are counted.
     */
    fun refuse(
        call: ForwardedCall,
        status: Int,
        message: String,
        retryAfterMs: Long?,
        reason: String = "other",
    ) {
        log.info {
            "request refused: request=${call.metadata.requestId} status=$status reason=$message " +
                "sent=${call.attempts.sent} begun=${call.exchange.hasBegun}"
        }
        count(call, "refused")
        metrics.count("request.refusals", "reason" to reason)
        respond(call, callers.refusal(status, message, retryAfterMs, call.metadata))
    }

    /** Responds that the outcome is unknown, since the request may have run; [leftMs] is the time to the deadline. */
    fun fail(
        call: ForwardedCall,
        leftMs: Long,
    ) {
        val status = if (leftMs <= DEADLINE_TOLERANCE_MS) GATEWAY_TIMEOUT else BAD_GATEWAY
        log.warn {
            "request failed: request=${call.metadata.requestId} status=$status tried=${call.tried} left_ms=$leftMs"
        }
        count(call, "failed")
        respond(call, callers.refusal(status, "the outcome of the request is unknown", null, call.metadata))
    }

    fun count(
        call: ForwardedCall,
        outcome: String,
    ) = metrics.count(
        "requests",
        "outcome" to outcome,
        "route_kind" to
            call.route.kind.name
                .lowercase(),
    )

    /** Sends [response]; a response that has begun can only be aborted. */
    private fun respond(
        call: ForwardedCall,
        response: HttpResponseMessage,
    ) {
        if (call.exchange.hasBegun) call.exchange.abort() else call.exchange.respond(response)
    }

    private companion object {
        const val BAD_GATEWAY = 502
        const val GATEWAY_TIMEOUT = 504

        /** With no more time left than this, a failure is attributed to the deadline (504 instead of 502). */
        const val DEADLINE_TOLERANCE_MS = 20L
    }
}
