/*
 * Plain service as function types, and its adapter over HTTP. The request to the target is built from what is named
 * here and nothing else; the caller's own headers are never copied.
 */
package io.guavashore.calls

import io.guavashore.api.AttemptId
import io.guavashore.api.Target
import io.ktor.client.HttpClient
import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.header
import io.ktor.client.request.prepareRequest
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsChannel
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpMethod
import io.ktor.http.contentLength
import io.ktor.http.contentType
import io.ktor.utils.io.readRemaining
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.withTimeout
import kotlinx.io.readByteArray
import java.net.ConnectException

/** Header by which an answer names the attempt that it belongs to. */
const val ATTEMPT_HEADER = "Guavashore-Attempt"

/** What a plain service is asked. [pathAndQuery] starts with a slash. */
class PlainRequest(
    val method: String,
    val pathAndQuery: String,
    val contentType: String?,
    val accept: String?,
    val body: ByteArray,
)

/** Whole answer of a plain service. */
class PlainAnswer(
    val status: Int,
    val contentType: String?,
    val body: ByteArray,
)

/** One attempt of a plain call. [deadlineMs] is on the monotonic clock. */
class PlainCall(
    val target: Target,
    val attempt: AttemptId,
    val request: PlainRequest,
    val maxAnswerBytes: Long,
    val timeoutMs: Long,
)

/** Runs one attempt and returns the whole answer, or fails with [TargetFailure]. */
typealias CallPlain = suspend (PlainCall) -> PlainAnswer

/** Adapter to plain services over HTTP. */
class HttpPlainClient(
    private val client: HttpClient,
) {
    suspend fun call(call: PlainCall): PlainAnswer {
        var answered = false
        try {
            return withTimeout(call.timeoutMs) {
                client
                    .prepareRequest("http://${call.target.endpoint}${call.request.pathAndQuery}") { build(call) }
                    .execute { response ->
                        answered = true
                        readWhole(call, response)
                    }
            }
        } catch (e: TargetFailure) {
            throw e
        } catch (e: TimeoutCancellationException) {
            throw TargetFailure(BreakPoint.TIMEOUT, "no whole answer in time")
        } catch (e: CancellationException) {
            throw e
        } catch (e: ConnectException) {
            throw TargetFailure(BreakPoint.CONNECT, "no connection")
        } catch (e: Exception) {
            throw TargetFailure(if (answered) BreakPoint.ANSWERING else BreakPoint.SENT, e.javaClass.simpleName)
        }
    }

    private fun HttpRequestBuilder.build(call: PlainCall) {
        method = HttpMethod.parse(call.request.method)
        header(ATTEMPT_HEADER, call.attempt.value)
        call.request.accept?.let { header(HttpHeaders.Accept, it) }
        call.request.contentType?.let { contentType(ContentType.parse(it)) }
        if (call.request.body.isNotEmpty()) setBody(call.request.body)
    }

    private suspend fun readWhole(
        call: PlainCall,
        response: HttpResponse,
    ): PlainAnswer {
        val echoed = response.headers[ATTEMPT_HEADER]
        if (echoed != null && echoed != call.attempt.value) {
            throw TargetFailure(BreakPoint.WRONG_ANSWER, "answer to another attempt")
        }
        val expected = response.contentLength()
        if (expected != null && expected > call.maxAnswerBytes) tooLong()
        val body = response.bodyAsChannel().readRemaining(call.maxAnswerBytes + 1).readByteArray()
        if (body.size > call.maxAnswerBytes) tooLong()
        if (expected != null && body.size.toLong() != expected && call.request.method != "HEAD") {
            throw TargetFailure(BreakPoint.WRONG_ANSWER, "answer of ${body.size} bytes instead of $expected")
        }
        return PlainAnswer(response.status.value, response.contentType()?.toString(), body)
    }

    private fun tooLong(): Nothing = throw TargetFailure(BreakPoint.TOO_LONG, "answer over the service's bound")
}
