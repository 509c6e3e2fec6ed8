/*
 * Stand-in of a plain service: prices to look up, orders that must not be repeated, and scores of samples.
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

/** Runs of each order over all services of one stand-in; more than one means that a call was repeated. */
class OrderBook {
    private val runs = ConcurrentHashMap<String, Int>()

    fun run(order: String) {
        runs.merge(order, 1, Int::plus)
    }

    fun all(): Map<String, Int> = runs.toMap()
}

/** One plain service on a port of its own. */
class StandinPlainService(
    val id: TargetId,
    private val book: OrderBook,
    private val orderMs: Long = 20,
) : StandinTarget {
    @Volatile
    override var isUp = true
        private set

    override var port = 0
        private set

    /** Requests as they came, with all headers, to check that none carries a key. */
    val seen: MutableSet<String> = ConcurrentHashMap.newKeySet()

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
            seen += "${call.request.uri} ${call.request.headers.entries()}"
        }
        routing {
            get("/health") { if (isUp) call.respondText("ok") else awaitCancellation() }
            get("/price/{item}") {
                val item = call.parameters["item"].orEmpty()
                answer(call, priceOf(item).toString())
            }
            post("/order") {
                val order = call.receiveText()
                seen += order
                book.run(order)
                if (order.startsWith(CRASH_ORDER)) crash()
                delay(orderMs)
                answer(call, "ordered $order")
            }
            post("/score") {
                val request = standinJson.decodeFromString<StandinScoreRequest>(call.receiveText())
                val score = StandinScore(request.tokens.sum() % SCORES / SCORES.toDouble())
                answer(call, standinJson.encodeToString(score), ContentType.Application.Json)
            }
        }
    }

    private suspend fun answer(
        call: ApplicationCall,
        text: String,
        type: ContentType = ContentType.Text.Plain,
    ) {
        call.request.header("Guavashore-Attempt")?.let { call.response.header("Guavashore-Attempt", it) }
        call.respondText(text, type, HttpStatusCode.OK)
    }

    companion object {
        /** Orders that start with this crash the service after they have run. */
        const val CRASH_ORDER = "crash"
        private const val SCORES = 101
    }
}

/** Price that every stand-in gives for [item]. */
fun priceOf(item: String): Int = Math.floorMod(item.hashCode(), PRICES)

private const val PRICES = 10_000
