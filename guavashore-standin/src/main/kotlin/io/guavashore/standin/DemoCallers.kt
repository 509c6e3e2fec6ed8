/*
 * Callers of the demonstration. Each call goes to the next entry in turn, as behind a load balancer. Failed calls are
 * not retried, because an order must not run twice.
 */
package io.guavashore.standin

import io.ktor.client.HttpClient
import io.ktor.client.request.get
import io.ktor.client.request.header
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.http.contentType
import io.ktor.http.isSuccess
import kotlinx.coroutines.delay
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

@Serializable
internal data class DemoSpan(
    val version: Long,
    val count: Int,
)

@Serializable
private data class DemoLine(
    @SerialName("first_index") val firstIndex: Int = 0,
    val tokens: List<Int> = emptyList(),
    @SerialName("weight_version") val weightVersion: Long? = null,
    val done: Boolean = false,
)

/** Sends price lookups, orders and generations to [entries] and counts the outcomes in [counters]. */
internal class DemoCallers(
    private val client: HttpClient,
    private val entries: List<String>,
    private val counters: DemoCounters,
) {
    private val json = Json { ignoreUnknownKeys = true }

    /** Sends calls until cancelled; [number] makes items, orders and prompts differ between callers. */
    suspend fun run(number: Int) {
        var round = 0
        while (true) {
            val entry = entries[(number + round) % entries.size]
            when (round % CALL_KINDS) {
                0 -> price(entry, "mat-$number-$round")
                1 -> order(entry, "order-$number-$round")
                else -> generate(entry, listOf(number + 1, round + 1))
            }
            round++
            delay(CALL_INTERVAL_MS)
        }
    }

    /** True if a price call and a generation succeed now through every entry. */
    suspend fun probe(): Boolean =
        entries.all { entry ->
            val price = nullOnFailure { client.get("$entry/v1/demo/price/call/price/probe").status.isSuccess() }
            val tokens = nullOnFailure { postGenerate(entry, listOf(1)).status.isSuccess() }
            price == true && tokens == true
        }

    private suspend fun price(
        entry: String,
        item: String,
    ) {
        val response = nullOnFailure { client.get("$entry/v1/demo/price/call/price/$item") }
        val body = response?.let { nullOnFailure { it.bodyAsText() } }
        count(response?.status?.isSuccess(), body) { it == priceOf(item).toString() }
    }

    private suspend fun order(
        entry: String,
        orderId: String,
    ) {
        val response =
            nullOnFailure {
                client.post("$entry/v1/demo/orders/call/order") {
                    header(HttpHeaders.Authorization, "Bearer $APP_KEY")
                    setBody(orderId)
                }
            }
        val body = response?.let { nullOnFailure { it.bodyAsText() } }
        count(response?.status?.isSuccess(), body) { it == "ordered $orderId" }
        if (response?.status?.isSuccess() == true) counters.confirmedOrders += orderId
    }

    private suspend fun generate(
        entry: String,
        prompt: List<Int>,
    ) {
        val response = nullOnFailure { postGenerate(entry, prompt) }
        val body = response?.let { nullOnFailure { it.bodyAsText() } }
        // A stream that ends with a problem has failed, as its caller is told; it is counted like a refused call.
        val problem = body?.lines()?.firstOrNull { """"problem":{""" in it }
        if (problem != null && response.status == HttpStatusCode.OK) println("stream failed: $body")
        // A stream without its last line is incomplete and the caller can detect it: counted like a lost connection.
        val completeBody =
            body?.takeIf { response.status != HttpStatusCode.OK || """"done":true""" in it || problem != null }
        count(response?.status?.isSuccess()?.and(problem == null), completeBody) { isCorrect(it, prompt) }
    }

    private suspend fun postGenerate(
        entry: String,
        prompt: List<Int>,
    ) = client.post("$entry/v1/demo/chat/generate") {
        header(HttpHeaders.Authorization, "Bearer $APP_KEY")
        contentType(ContentType.Application.Json)
        setBody("""{"prompt":$prompt,"max_tokens":$TOKENS,"stream":true}""")
    }

    /** True if each token matches its weight version and index, and the last line marks the stream as complete. */
    private fun isCorrect(
        body: String,
        prompt: List<Int>,
    ): Boolean {
        val lines = body.lines().filter { it.isNotBlank() }.map { json.decodeFromString<DemoLine>(it) }
        if (lines.lastOrNull()?.done != true) return false
        val tokens = lines.flatMap { line -> line.tokens.map { it to line.weightVersion } }
        return tokens.size == TOKENS &&
            tokens.withIndex().all { (index, token) -> token.first == tokenAt(prompt, 0, index, token.second ?: 0) }
    }

    private fun count(
        success: Boolean?,
        body: String?,
        isCorrect: (String) -> Boolean,
    ) {
        when {
            success == null || body == null -> counters.interrupted.incrementAndGet()
            !success -> counters.refused.incrementAndGet()
            isCorrect(body) -> counters.callsOk.incrementAndGet()
            else -> {
                println("wrong response: $body")
                counters.wrong.incrementAndGet()
            }
        }
    }

    companion object {
        /** Sample key of examples/demo.toml. */
        const val APP_KEY = "gk_app_sample-secret-app"
        private const val CALL_KINDS = 3
        private const val TOKENS = 12
        private const val CALL_INTERVAL_MS = 20L
    }
}
