/*
 * Answers of a call that no target has answered.
 */
package io.guavashore.edge.forward

import io.github.oshai.kotlinlogging.KotlinLogging
import io.guavashore.edge.front.CallerProtocol
import io.guavashore.metrics.Metrics
import io.guavashore.net.HttpResponseMessage

private val log = KotlinLogging.logger {}

/** Ends calls, and counts how calls ended. */
class ErrorResponder(
    private val callers: CallerProtocol,
    private val metrics: Metrics,
) {
    /** Says that the request has not run, and after which time to come back, if known. */
    fun refuse(
        call: ForwardedCall,
        status: Int,
        message: String,
        retryAfterMs: Long?,
    ) {
        log.info {
            "request refused: request=${call.metadata.requestId} status=$status reason=$message " +
                "sent=${call.attempts.sent} begun=${call.exchange.hasBegun}"
        }
        count(call, "refused")
        respond(call, callers.refusal(status, message, retryAfterMs, call.metadata))
    }

    /** The request may have run: says so, and promises nothing. */
    fun fail(
        call: ForwardedCall,
        leftMs: Long,
    ) {
        val status = if (leftMs <= LATE_MS) GATEWAY_TIMEOUT else BAD_GATEWAY
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

    /** An answer that has begun can only be cut. */
    private fun respond(
        call: ForwardedCall,
        answer: HttpResponseMessage,
    ) {
        if (call.exchange.hasBegun) call.exchange.abort() else call.exchange.respond(answer)
    }

    private companion object {
        const val BAD_GATEWAY = 502
        const val GATEWAY_TIMEOUT = 504

        /** Below this a failure is put down to the deadline. */
        const val LATE_MS = 20L
    }
}
