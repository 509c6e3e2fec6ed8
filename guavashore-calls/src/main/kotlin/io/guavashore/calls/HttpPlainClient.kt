/*
 * Adapter to plain services over HTTP. It uses the JDK's client because the engines of Ktor's client, when a target
 * aborts a chunked response, sometimes return the received part as if it were complete.
 */
package io.guavashore.calls

import kotlinx.coroutines.future.await
import kotlinx.coroutines.withTimeout
import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.net.http.HttpResponse.BodySubscriber
import java.nio.ByteBuffer
import java.time.Duration
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CompletionStage
import java.util.concurrent.Flow
import kotlin.jvm.optionals.getOrNull

/** Client of plain services. It follows no redirects and never repeats a request that is not idempotent. */
class HttpPlainClient(
    connectTimeoutMs: Long = 500,
) {
    private val client =
        HttpClient
            .newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .followRedirects(HttpClient.Redirect.NEVER)
            .connectTimeout(Duration.ofMillis(connectTimeoutMs))
            .build()

    /** Runs one attempt, as [CallPlain] specifies. */
    suspend fun call(call: PlainCall): PlainResponse {
        var responseStarted = false
        val handler = { info: HttpResponse.ResponseInfo ->
            responseStarted = true
            BoundedBodySubscriber(call.maxResponseBytes, contentLength(info))
        }
        try {
            return withTimeout(call.timeoutMs) { validated(call, client.sendAsync(request(call), handler).await()) }
        } catch (e: Exception) {
            throw toTargetFailure(e, responseStarted)
        }
    }

    private fun request(call: PlainCall): HttpRequest {
        val body = call.request.body
        val publisher =
            if (body.isEmpty()) HttpRequest.BodyPublishers.noBody() else HttpRequest.BodyPublishers.ofByteArray(body)
        return HttpRequest
            .newBuilder(URI("http://${call.target.endpoint}${call.request.pathAndQuery}"))
            .method(call.request.method, publisher)
            .header(ATTEMPT_HEADER, call.attempt.value)
            .apply { call.request.accept?.let { header("Accept", it) } }
            .apply { call.request.contentType?.let { header("Content-Type", it) } }
            .build()
    }

    private fun validated(
        call: PlainCall,
        response: HttpResponse<ByteArray>,
    ): PlainResponse {
        val echoedAttempt = response.headers().firstValue(ATTEMPT_HEADER).getOrNull()
        if (echoedAttempt != null && echoedAttempt != call.attempt.value) {
            throw TargetFailure(
                FailurePoint.WRONG_ANSWER,
                "response belongs to attempt $echoedAttempt, expected ${call.attempt.value}",
            )
        }
        if (!isSelfDelimited(call, response)) {
            throw TargetFailure(
                FailurePoint.WRONG_ANSWER,
                "response has neither Content-Length nor Transfer-Encoding, so its end can't be verified",
            )
        }
        return PlainResponse(
            response.statusCode(),
            response.headers().firstValue("Content-Type").getOrNull(),
            response.body(),
        )
    }

    /**
     * True if the response states where its body ends. One that ends when its connection closes can't be distinguished
     * from a truncated one.
     */
    private fun isSelfDelimited(
        call: PlainCall,
        response: HttpResponse<*>,
    ): Boolean {
        val headers = response.headers()
        val isDelimited =
            headers.firstValue("Content-Length").isPresent || headers.firstValue("Transfer-Encoding").isPresent
        return isDelimited || call.request.method == "HEAD" || response.statusCode() in statusesWithoutBody
    }

    private fun contentLength(info: HttpResponse.ResponseInfo): Long? =
        info.headers().firstValueAsLong("Content-Length").let {
            if (it.isPresent) it.asLong else null
        }

    private companion object {
        val statusesWithoutBody = setOf(204, 304)
    }
}

/**
 * Collects a body of at most [maxBytes] and fails as soon as the body is known to be longer.
 *
 * @param contentLength size given in the header, or null if there is none
 */
private class BoundedBodySubscriber(
    private val maxBytes: Long,
    private val contentLength: Long?,
) : BodySubscriber<ByteArray> {
    private val result = CompletableFuture<ByteArray>()
    private val received = java.io.ByteArrayOutputStream()
    private var subscription: Flow.Subscription? = null

    override fun getBody(): CompletionStage<ByteArray> = result

    override fun onSubscribe(subscription: Flow.Subscription) {
        this.subscription = subscription
        if (contentLength != null && contentLength > maxBytes) failTooLong() else subscription.request(Long.MAX_VALUE)
    }

    override fun onNext(buffers: List<ByteBuffer>) {
        buffers.forEach { buffer ->
            val bytes = ByteArray(buffer.remaining())
            buffer.get(bytes)
            received.writeBytes(bytes)
        }
        if (received.size() > maxBytes) failTooLong()
    }

    override fun onError(throwable: Throwable) {
        result.completeExceptionally(IOException("response aborted", throwable))
    }

    override fun onComplete() {
        result.complete(received.toByteArray())
    }

    private fun failTooLong() {
        val failure = TargetFailure(FailurePoint.TOO_LONG, "response exceeds the maximum of $maxBytes bytes")
        result.completeExceptionally(failure)
        subscription?.cancel()
    }
}
