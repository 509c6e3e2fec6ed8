/*
 * Stand-in of a model engine with continuous batching: on each tick, every running sequence produces one token, up to a
 * maximum number of sequences. Further requests are accepted and queued inside the engine, as in real engines.
 */
package io.guavashore.standin

import io.guavashore.api.TargetId
import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.Application
import io.ktor.server.application.ApplicationCall
import io.ktor.server.cio.CIO
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.embeddedServer
import io.ktor.server.request.receiveText
import io.ktor.server.response.respondText
import io.ktor.server.response.respondTextWriter
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.routing
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.Serializable
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicLong

/** Body of a generation request; [produced] are the tokens that earlier attempts have generated. */
@Serializable
data class StandinGenerateRequest(
    val attempt: String,
    val prompt: List<Int>,
    val produced: List<Int> = emptyList(),
    val maxTokens: Int,
    val seed: Long = 0,
)

/** One line of the streamed response; the last one has [done] set and the [total] number of tokens. */
@Serializable
data class StandinGenerateLine(
    val attempt: String,
    val firstIndex: Int = 0,
    val tokens: List<Int> = emptyList(),
    val version: Long? = null,
    val done: Boolean = false,
    val total: Int = 0,
)

/** Body of a request to load a weight version. */
@Serializable
data class StandinLoadRequest(
    val version: Long,
    val fencingNumber: Long,
)

/** State that the engine reports; [version] is its current weight version. */
@Serializable
data class StandinState(
    val id: String,
    val version: Long?,
    val loading: Boolean,
    val running: Int,
    val slots: Int,
    val deliveredTokens: Long,
)

/** Speed, capacity and fencing of an engine. [tickMs] is the time per token, [loadMs] the time to load weights. */
data class EngineConfig(
    val tickMs: Long = 10,
    val slots: Int = 16,
    val loadMs: Long = 150,
    val rejectsStaleFencing: Boolean = true,
)

/** Engine that listens on its own port. */
class StandinEngine(
    val id: TargetId,
    private val scope: CoroutineScope,
    private val config: EngineConfig = EngineConfig(),
    startVersion: Long = 1,
) : StandinTarget {
    private class Sequence(
        val request: StandinGenerateRequest,
        val output: Channel<StandinGenerateLine> = Channel(Channel.UNLIMITED),
    ) {
        var nextIndex = request.produced.size

        @Volatile
        var cancelled = false
    }

    private val sequences = ConcurrentLinkedQueue<Sequence>()
    private val deliveredTokens = AtomicLong()

    @Volatile
    private var version = startVersion

    @Volatile
    private var loading = false

    @Volatile
    private var highestFencing = 0L

    /** While true, the engine accepts requests to load weights but keeps its current version. */
    @Volatile
    var weightLoadFails = false

    @Volatile
    override var isUp = true
        private set

    private val server: EmbeddedServer<*, *> = embeddedServer(CIO, host = "127.0.0.1", port = 0) { routes() }

    override var port = 0
        private set

    override suspend fun start() {
        server.start(wait = false)
        port =
            server.engine
                .resolvedConnectors()
                .first()
                .port
        scope.launch { runTicks() }
    }

    /** Breaks all connections immediately. */
    override fun crash() {
        isUp = false
        sequences.forEach { it.cancelled = true }
        sequences.forEach { it.output.close(IllegalStateException("crashed")) }
        scope.launch { server.stop(0, 0) }
    }

    fun state() = StandinState(id.value, version, loading, sequences.size, config.slots, deliveredTokens.get())

    private fun Application.routes() {
        routing {
            get("/health") { if (isUp) call.respondText("ok") else awaitCancellation() }
            get("/state") { call.respondText(standinJson.encodeToString(state()), ContentType.Application.Json) }
            post("/load") { load(call) }
            post("/generate") { generate(call) }
        }
    }

    private suspend fun load(call: ApplicationCall) {
        val request = standinJson.decodeFromString<StandinLoadRequest>(call.receiveText())
        if (config.rejectsStaleFencing && request.fencingNumber < highestFencing) {
            return call.respondText("old fencing number", status = HttpStatusCode.Conflict)
        }
        highestFencing = maxOf(highestFencing, request.fencingNumber)
        scope.launch { loadWeights(request.version) }
        call.respondText("accepted", status = HttpStatusCode.Accepted)
    }

    private suspend fun loadWeights(requestedVersion: Long) {
        if (loading || requestedVersion <= version) return
        loading = true
        delay(config.loadMs)
        if (!weightLoadFails) version = requestedVersion
        loading = false
    }

    private suspend fun generate(call: ApplicationCall) {
        val request = standinJson.decodeFromString<StandinGenerateRequest>(call.receiveText())
        val sequence = Sequence(request)
        sequences += sequence
        if (POISON_TOKEN in request.prompt) {
            crash()
            awaitCancellation()
        }
        try {
            call.respondTextWriter(ContentType.parse("application/x-ndjson")) {
                for (line in sequence.output) {
                    write(standinJson.encodeToString(line) + "\n")
                    flush()
                    deliveredTokens.addAndGet(line.tokens.size.toLong())
                }
            }
        } finally {
            sequence.cancelled = true
        }
    }

    private suspend fun runTicks() {
        var tick = 0L
        while (isUp) {
            delay(config.tickMs)
            tick++
            sequences.removeIf { it.cancelled }
            if (!loading) sequences.take(config.slots).filter { it.isDue(tick) }.forEach(::produceToken)
        }
    }

    private fun Sequence.isDue(tick: Long) =
        SLOW_TOKEN !in request.prompt || nextIndex == 0 || tick % SLOW_TOKEN_INTERVAL_TICKS == 0L

    private fun produceToken(sequence: Sequence) {
        val request = sequence.request
        val attempt = request.attempt
        if (sequence.nextIndex < request.maxTokens) {
            val token = tokenAt(request.prompt, request.seed, sequence.nextIndex, version)
            sequence.output.trySend(StandinGenerateLine(attempt, sequence.nextIndex, listOf(token), version))
            sequence.nextIndex++
        }
        if (sequence.nextIndex >= request.maxTokens) {
            sequence.output.trySend(StandinGenerateLine(attempt, done = true, total = sequence.nextIndex))
            sequence.output.close()
            sequence.cancelled = true
        }
    }
}
