/*
 * Stand-in of a plain service: price lookups, orders that must not run twice, and scoring of samples.
 */
package io.guavashore.standin

import io.guavashore.api.TargetId
import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.Application
import io.ktor.server.application.ApplicationCall
import io.ktor.server.application.ApplicationCallPipeline
import io.ktor.server.application.call
import io.ktor.server.cio.CIO
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.embeddedServer
import io.ktor.server.request.header
import io.ktor.server.request.receiveText
import io.ktor.server.request.uri
import io.ktor.server.response.header
import io.ktor.server.response.respondText
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.routing
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.Serializable
import java.util.concurrent.ConcurrentHashMap
import kotlin.concurrent.thread

/** Sample to score. */
@Serializable
data class StandinScoreRequest(
    val sample: String,
    val tokens: List<Int>,
)

/** Score of a sample. */
@Serializable
data class StandinScore(
    val score: Double,
)

/** Counts how often each order ran on all services of one stand-in; a count above 1 means that a call was repeated. */
class OrderRunCounter {
    private val runs = ConcurrentHashMap<String, Int>()

    fun recordRun(order: String) {
        runs.merge(order, 1, Int::plus)
    }

    fun counts(): Map<String, Int> = runs.toMap()
}

/** Plain service that listens on its own port. */
class StandinPlainService(
    val id: TargetId,
    private val orderRunCounter: OrderRunCounter,
    private val orderDurationMs: Long = 20,
) : StandinTarget {
    @Volatile
    override var isUp = true
        private set

    override var port = 0
        private set

    /** URIs, headers and order bodies of all received requests, to check that none contains a key. */
    val receivedRequests: MutableSet<String> = ConcurrentHashMap.newKeySet()

    private val server: EmbeddedServer<*, *> = embeddedServer(CIO, host = "127.0.0.1", port = 0) { routes() }

    override suspend fun start() {
        server.start(wait = false)
        port =
            server.engine
                .resolvedConnectors()
                .first()
                .port
    }

    override fun crash() {
        isUp = false
        thread(name = "stop-$id") { runBlocking { server.stopSuspend(0, 0) } }
    }

    private fun Application.routes() {
        intercept(ApplicationCallPipeline.Plugins) {
            receivedRequests += "${call.request.uri} ${call.request.headers.entries()}"
        }
        routing {
            get("/health") { if (isUp) call.respondText("ok") else awaitCancellation() }
            get("/price/{item}") {
                val item = call.parameters["item"].orEmpty()
                respondWithAttempt(call, priceOf(item).toString())
            }
            post("/order") {
                val order = call.receiveText()
                receivedRequests += order
                orderRunCounter.recordRun(order)
                if (order.startsWith(CRASH_ORDER_PREFIX)) crash()
                delay(orderDurationMs)
                respondWithAttempt(call, "ordered $order")
            }
            post("/score") {
                val request = standinJson.decodeFromString<StandinScoreRequest>(call.receiveText())
                val score = StandinScore(request.tokens.sum() % SCORE_STEPS / SCORE_STEPS.toDouble())
                respondWithAttempt(call, standinJson.encodeToString(score), ContentType.Application.Json)
            }
        }
    }

    /** Responds with [text] and echoes the attempt header of the request, if present. */
    private suspend fun respondWithAttempt(
        call: ApplicationCall,
        text: String,
        type: ContentType = ContentType.Text.Plain,
    ) {
        call.request.header("Guavashore-Attempt")?.let { call.response.header("Guavashore-Attempt", it) }
        call.respondText(text, type, HttpStatusCode.OK)
    }

    companion object {
        /** An order with this prefix crashes the service after it has run. */
        const val CRASH_ORDER_PREFIX = "crash"
        private const val SCORE_STEPS = 101
    }
}

/** Price of [item], the same on every stand-in service. */
fun priceOf(item: String): Int = Math.floorMod(item.hashCode(), PRICE_BOUND)

private const val PRICE_BOUND = 10_000
