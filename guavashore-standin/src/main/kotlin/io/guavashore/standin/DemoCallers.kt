/*
 * Callers of the demonstration. Like the balancer they turn to the next entry when one does not answer; orders,
 * which may not be repeated, are given up then.
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

/** Callers of one demonstration. */
internal class DemoCallers(
    private val client: HttpClient,
    private val entries: List<String>,
    private val tally: DemoTally,
) {
    private val json = Json { ignoreUnknownKeys = true }

    /** Calls on until cancelled. */
    suspend fun run(number: Int) {
        var round = 0
        while (true) {
            val entry = entries[(number + round) % entries.size]
            when (round % KINDS) {
                0 -> price(entry, "mat-$number-$round")
                1 -> order(entry, "order-$number-$round")
                else -> generate(entry, listOf(number + 1, round + 1))
            }
            round++
            delay(PAUSE_MS)
        }
    }

    /** True if each kind of call is answered now. */
    suspend fun probe(): Boolean =
        entries.all { entry ->
            val price = attempt { client.get("$entry/v1/demo/price/call/price/probe").status.isSuccess() }
            val tokens = attempt { postGenerate(entry, listOf(1)).status.isSuccess() }
            price == true && tokens == true
        }

    private suspend fun price(
        entry: String,
        item: String,
    ) {
        val response = attempt { client.get("$entry/v1/demo/price/call/price/$item") }
        val body = response?.let { attempt { it.bodyAsText() } }
        count(response?.status?.isSuccess(), body) { it == priceOf(item).toString() }
    }

    private suspend fun order(
        entry: String,
        order: String,
    ) {
        val response =
            attempt {
                client.post("$entry/v1/demo/orders/call/order") {
                    header(HttpHeaders.Authorization, "Bearer $APP_KEY")
                    setBody(order)
                }
            }
        val body = response?.let { attempt { it.bodyAsText() } }
        count(response?.status?.isSuccess(), body) { it == "ordered $order" }
        if (response?.status?.isSuccess() == true) tally.confirmedOrders += order
    }

    private suspend fun generate(
        entry: String,
        prompt: List<Int>,
    ) {
        val response = attempt { postGenerate(entry, prompt) }
        val body = response?.let { attempt { it.bodyAsText() } }
        // A stream without its last line is not whole, and the caller can tell: broken like a lost connection.
        val ended =
            body?.takeIf {
                response.status != HttpStatusCode.OK || """"done":true""" in it ||
                    "problem\":{" in it
            }
        count(response?.status?.isSuccess(), ended) { isRight(it, prompt) }
    }

    private suspend fun postGenerate(
        entry: String,
        prompt: List<Int>,
    ) = client.post("$entry/v1/demo/chat/generate") {
        header(HttpHeaders.Authorization, "Bearer $APP_KEY")
        contentType(ContentType.Application.Json)
        setBody("""{"prompt":$prompt,"max_tokens":$TOKENS,"stream":true}""")
    }

    /** Each token must be the one that its version gives at its place, and the last line must say that it is whole. */
    private fun isRight(
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
        isRight: (String) -> Boolean,
    ) {
        when {
            success == null || body == null -> tally.broken.incrementAndGet()
            !success -> tally.refused.incrementAndGet()
            isRight(body) -> tally.callsOk.incrementAndGet()
            else -> {
                println("wrong answer: $body")
                tally.wrong.incrementAndGet()
            }
        }
    }

    companion object {
        /** Key of the demo declaration. */
        const val APP_KEY = "gk_app_sample-secret-app"
        private const val KINDS = 3
        private const val TOKENS = 12
        private const val PAUSE_MS = 20L
    }
}
