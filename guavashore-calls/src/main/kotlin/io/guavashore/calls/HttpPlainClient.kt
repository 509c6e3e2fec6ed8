/*
 * Adapter to plain services over HTTP. Plain services need not echo the attempt's id, so a late duplicate of a response
 * could not be told from the response to the next request on its connection. Each attempt therefore has a connection of
 * its own.
 *
 * It uses guavashore's own client because the engines of Ktor's client, when a target aborts a chunked response,
 * sometimes return the received part as if it were complete, and the JDK's client always reuses connections.
 */
package io.guavashore.calls

import io.guavashore.net.Headers
import io.guavashore.net.HttpConnection
import io.guavashore.net.HttpRequestMessage
import io.guavashore.net.ResponseHead
import io.guavashore.net.SingleExchangeClient
import kotlinx.coroutines.withTimeout
import java.io.ByteArrayOutputStream
import java.net.URI

/** Client of plain services. It follows no redirects and never repeats a request. */
class HttpPlainClient(
    connectTimeoutMs: Long = 500,
) : AutoCloseable {
    private val client = SingleExchangeClient(connectTimeoutMs)

    /** Runs one attempt, as [CallPlain] specifies. */
    suspend fun call(call: PlainCall): PlainResponse {
        var responseStarted = false
        try {
            return withTimeout(call.timeoutMs) {
                client.exchange(call.target.endpoint, message(call)) { connection ->
                    val head = connection.head()
                    responseStarted = true
                    validate(call, head)
                    PlainResponse(head.status, head.headers["Content-Type"], connection.readBody(call, head))
                }
            }
        } catch (e: Exception) {
            throw toTargetFailure(e, responseStarted)
        }
    }

    override fun close() = client.close()

    private fun message(call: PlainCall): HttpRequestMessage {
        val request = call.request
        val uri = URI("http://${call.target.endpoint}${request.pathAndQuery}")
        val fields =
            listOfNotNull(
                "Host" to call.target.endpoint.toString(),
                ATTEMPT_HEADER to call.attempt.value,
                request.accept?.let { "Accept" to it },
                request.contentType?.let { "Content-Type" to it },
            )
        fields.forEach { (name, value) -> require(value.none(::isForbidden)) { "invalid value of the header $name" } }
        val pathAndQuery = uri.rawPath + uri.rawQuery?.let { "?$it" }.orEmpty()
        return HttpRequestMessage(request.method, pathAndQuery, Headers(fields), request.body)
    }

    private fun isForbidden(char: Char) = char.isISOControl() && char != '\t'

    private fun validate(
        call: PlainCall,
        head: ResponseHead,
    ) {
        val echoedAttempt = head.headers[ATTEMPT_HEADER]
        if (echoedAttempt != null && echoedAttempt != call.attempt.value) {
            throw TargetFailure(
                FailurePoint.WRONG_ANSWER,
                "response belongs to attempt $echoedAttempt, expected ${call.attempt.value}",
            )
        }
        if (!isSelfDelimited(call, head)) {
            throw TargetFailure(
                FailurePoint.WRONG_ANSWER,
                "response has neither Content-Length nor Transfer-Encoding, so its end can't be verified",
            )
        }
    }

    /**
     * True if the response states where its body ends. One that ends when its connection closes can't be distinguished
     * from a truncated one.
     */
    private fun isSelfDelimited(
        call: PlainCall,
        head: ResponseHead,
    ): Boolean {
        val isDelimited = head.headers["Content-Length"] != null || head.headers["Transfer-Encoding"] != null
        return isDelimited || call.request.method == "HEAD" || head.status in statusesWithoutBody
    }

    /** Reads the body, and fails as soon as it is known to be longer than allowed. */
    private suspend fun HttpConnection.readBody(
        call: PlainCall,
        head: ResponseHead,
    ): ByteArray {
        val hasBody = call.request.method != "HEAD" && head.status !in statusesWithoutBody
        val statedBytes = head.headers["Content-Length"]?.toLongOrNull()?.takeIf { hasBody } ?: 0
        val received = ByteArrayOutputStream()
        var nextPart: ByteArray? = ByteArray(0)
        while (nextPart != null) {
            received.write(nextPart)
            if (maxOf(statedBytes, received.size().toLong()) > call.maxResponseBytes) {
                throw TargetFailure(
                    FailurePoint.TOO_LONG,
                    "response exceeds the maximum of ${call.maxResponseBytes} bytes",
                )
            }
            nextPart = nextPart()
        }
        return received.toByteArray()
    }

    private companion object {
        val statusesWithoutBody = setOf(204, 304)
    }
}
