/*
 * Adapter to plain services over HTTP. It uses the JDK's client: the engines of Ktor's client, when a target breaks
 * off a chunked answer, at times pass on what came as if it were whole.
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

/** Client of plain services. It follows no redirects and repeats nothing that is not idempotent. */
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

    suspend fun call(call: PlainCall): PlainResponse {
        var answered = false
        val handler = { info: HttpResponse.ResponseInfo ->
            answered = true
            BoundedBody(call.maxAnswerBytes, announced(info))
        }
        try {
            return withTimeout(call.timeoutMs) { whole(call, client.sendAsync(request(call), handler).await()) }
        } catch (e: Exception) {
            throw asTargetFailure(e, answered)
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

    private fun whole(
        call: PlainCall,
        response: HttpResponse<ByteArray>,
    ): PlainResponse {
        val echoed = response.headers().firstValue(ATTEMPT_HEADER).getOrNull()
        if (echoed != null && echoed != call.attempt.value) {
            throw TargetFailure(FailurePoint.WRONG_ANSWER, "answer to another attempt")
        }
        if (!isEndMarked(call, response)) throw TargetFailure(FailurePoint.WRONG_ANSWER, "answer without a marked end")
        return PlainResponse(
            response.statusCode(),
            response.headers().firstValue("Content-Type").getOrNull(),
            response.body(),
        )
    }

    /** An answer that ends with its connection can't be told from one that was cut off. */
    private fun isEndMarked(
        call: PlainCall,
        response: HttpResponse<*>,
    ): Boolean {
        val headers = response.headers()
        val isMarked =
            headers.firstValue("Content-Length").isPresent || headers.firstValue("Transfer-Encoding").isPresent
        return isMarked || call.request.method == "HEAD" || response.statusCode() in bodiless
    }

    private fun announced(info: HttpResponse.ResponseInfo): Long? =
        info.headers().firstValueAsLong("Content-Length").let {
            if (it.isPresent) it.asLong else null
        }

    private companion object {
        val bodiless = setOf(204, 304)
    }
}

/** Collects at most [maxBytes] of a body; a longer one fails as soon as that is known. */
private class BoundedBody(
    private val maxBytes: Long,
    private val announced: Long?,
) : BodySubscriber<ByteArray> {
    private val result = CompletableFuture<ByteArray>()
    private val received = java.io.ByteArrayOutputStream()
    private var subscription: Flow.Subscription? = null

    override fun getBody(): CompletionStage<ByteArray> = result

    override fun onSubscribe(subscription: Flow.Subscription) {
        this.subscription = subscription
        if (announced != null && announced > maxBytes) tooLong() else subscription.request(Long.MAX_VALUE)
    }

    override fun onNext(buffers: List<ByteBuffer>) {
        buffers.forEach { buffer ->
            val bytes = ByteArray(buffer.remaining())
            buffer.get(bytes)
            received.writeBytes(bytes)
        }
        if (received.size() > maxBytes) tooLong()
    }

    override fun onError(throwable: Throwable) {
        result.completeExceptionally(IOException("answer broken off", throwable))
    }

    override fun onComplete() {
        result.complete(received.toByteArray())
    }

    private fun tooLong() {
        result.completeExceptionally(TargetFailure(FailurePoint.TOO_LONG, "answer over the service's bound"))
        subscription?.cancel()
    }
}
