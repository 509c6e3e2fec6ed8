/*
 * Ends calls with a response of a target, and logs it once it has been handed to the caller. The line tells which
 * target gave the response, to which request on its connection, and which request the response stated to belong to.
 */
package io.guavashore.edge.forward

import io.github.oshai.kotlinlogging.KotlinLogging
import io.guavashore.api.VmId
import io.guavashore.edge.declared.TargetEntry
import io.guavashore.edge.targets.ReceivedResponse
import io.guavashore.edge.targets.logFields
import io.guavashore.net.Headers
import io.guavashore.net.HttpResponseMessage

private val log = KotlinLogging.logger {}

/** Sender of a response that is passed on. Its string form is logged. */
internal sealed interface ResponseSender {
    class Target(
        val entry: TargetEntry,
    ) : ResponseSender {
        override fun toString() = "target=${entry.id}"
    }

    /** VM that relays the response. */
    class Peer(
        val vm: VmId,
    ) : ResponseSender {
        override fun toString() = "peer=$vm"
    }
}

/** Fields of log lines about [response], the response of [sender] to the current attempt. */
internal fun ForwardedCall.logFields(
    response: ReceivedResponse,
    sender: ResponseSender,
): String = "request=${metadata.requestId} $sender ${response.logFields()} attempts=${attempts.sent + 1}"

/** Sends [response], with the header fields [headers] and the complete [body], unless the caller has disconnected. */
internal fun ForwardedCall.passOn(
    response: ReceivedResponse,
    sender: ResponseSender,
    headers: Headers,
    body: ByteArray,
) {
    if (exchange.hasBegun) return
    exchange.respond(HttpResponseMessage(response.head.status, headers, body))
    log.info { "response passed on: ${logFields(response, sender)} body_bytes=${body.size}" }
}

/** Completes the stream whose last part is [response], unless the caller has disconnected. */
internal fun ForwardedCall.finish(
    response: ReceivedResponse,
    sender: ResponseSender,
) {
    if (!exchange.isCallerConnected) return
    exchange.finish()
    log.info { "response passed on: ${logFields(response, sender)} last_event=${stream.lastEventId}" }
}
