/*
 * Passes an event stream on, event by event.
 */
package io.guavashore.edge.forward

import io.guavashore.edge.targets.EventReader
import io.guavashore.edge.targets.TargetProtocol
import io.guavashore.net.AnswerHead
import io.guavashore.net.HttpConnection

internal class StreamForwarder(
    private val targets: TargetProtocol,
) {
    /** Forwards whole events only; a stream that breaks is cut, so that it does not look complete. */
    suspend fun pass(
        call: ForwardedCall,
        head: AnswerHead,
        connection: HttpConnection,
    ) {
        call.exchange.begin(AnswerHead(head.status, targets.answerHeaders(head)))
        val reader = EventReader()
        while (true) {
            val part = connection.nextPart() ?: break
            reader.take(part).forEach { call.exchange.write(it.raw) }
        }
        if (reader.isBetweenEvents) call.exchange.finish() else call.exchange.abort()
    }
}
