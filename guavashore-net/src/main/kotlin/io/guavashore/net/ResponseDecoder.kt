/*
 * Decodes the responses to the requests of one connection.
 *
 * A status is three digits, from 100 to 599. Netty parses any number, also one with a sign or leading zeros, and its
 * codec for clients takes an interim response for the response to a `HEAD` request.
 */
package io.guavashore.net

import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponseDecoder

/**
 * Decoder of responses; one without a valid status fails.
 *
 * @param requestMethod method of the request under way; a response to `HEAD` has no body
 */
internal class ResponseDecoder(
    private val requestMethod: () -> HttpMethod?,
) : HttpResponseDecoder() {
    override fun createMessage(initialLine: Array<String>): HttpMessage {
        val status = initialLine[1]
        val isValid = status.length == STATUS_DIGITS && status.all { it in '0'..'9' } && status.toInt() in STATUSES
        require(isValid) { "status '${status.take(MAX_LOGGED_CHARS)}' where three digits from 100 to 599 are due" }
        return super.createMessage(initialLine)
    }

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean =
        requestMethod() == HttpMethod.HEAD || super.isContentAlwaysEmpty(message)

    private companion object {
        const val STATUS_DIGITS = 3
        const val MAX_LOGGED_CHARS = 20
        val STATUSES = 100..599
    }
}
