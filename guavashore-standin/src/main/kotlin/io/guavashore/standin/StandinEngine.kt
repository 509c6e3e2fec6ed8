/*
 * Stand-in of a model engine: continuous batching by ticks, one token per running sequence and tick, up to a number
 * of sequences at once; more wait inside, as real engines admit requests as they come.
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

/** Body of a generation request. */
@Serializable
data class StandinGenerate(
    val attempt: String,
    val prompt: List<Int>,
    val produced: List<Int> = emptyList(),
    val maxTokens: Int,
    val seed: Long = 0,
)

/** One line of the answer. */
@Serializable
data class StandinLine(
    val attempt: String,
    val firstIndex: Int = 0,
    val tokens: List<Int> = emptyList(),
    val version: Long? = null,
    val done: Boolean = false,
    val total: Int = 0,
)

/** Order to load a weight version. */
@Serializable
data class StandinLoad(
    val version: Long,
    val fencingNumber: Long,
)

/** What the engine says of itself. */
@Serializable
data class StandinState(
    val id: String,
    val version: Long?,
    val loading: Boolean,
    val running: Int,
    val slots: Int,
    val deliveredTokens: Long,
)

/** Pace and faults of an engine. */
data class EngineTraits(
    val tickMs: Long = 10,
    val slots: Int = 16,
    val loadMs: Long = 150,
    val refusesOldFencing: Boolean = true,
)

/** One engine on a port of its own. */
class StandinEngine(
    val id: TargetId,
    private val scope: CoroutineScope,
    private val traits: EngineTraits = EngineTraits(),
    startVersion: Long = 1,
) : StandinTarget {
    private class Sequence(
        val request: StandinGenerate,
        val out: Channel<StandinLine> = Channel(Channel.UNLIMITED),
    ) {
        var next = request.produced.size

        @Volatile
        var cancelled = false
    }

    private val sequences = ConcurrentLinkedQueue<Sequence>()
    private val delivered = AtomicLong()

    @Volatile
    private var version = startVersion

    @Volatile
    private var loading = false

    @Volatile
    private var newestFencing = 0L

    /** While true, the engine says a version but not that it loads, and never swaps. */
    @Volatile
    var swapFails = false

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

    /** Breaks all connections at once. */
    override fun crash() {
        isUp = false
        sequences.forEach { it.cancelled = true }
        sequences.forEach { it.out.close(IllegalStateException("crashed")) }
        scope.launch { server.stop(0, 0) }
    }

    fun state() = StandinState(id.value, version, loading, sequences.size, traits.slots, delivered.get())

    private fun Application.routes() {
        routing {
            get("/health") { if (isUp) call.respondText("ok") else awaitCancellation() }
            get("/state") { call.respondText(standinJson.encodeToString(state()), ContentType.Application.Json) }
            post("/load") { load(call) }
            post("/generate") { generate(call) }
        }
    }

    private suspend fun load(call: ApplicationCall) {
        val order = standinJson.decodeFromString<StandinLoad>(call.receiveText())
        if (traits.refusesOldFencing && order.fencingNumber < newestFencing) {
            return call.respondText("old fencing number", status = HttpStatusCode.Conflict)
        }
        newestFencing = maxOf(newestFencing, order.fencingNumber)
        scope.launch { swapTo(order.version) }
        call.respondText("accepted", status = HttpStatusCode.Accepted)
    }

    private suspend fun swapTo(goal: Long) {
        if (loading || goal <= version) return
        loading = true
        delay(traits.loadMs)
        if (!swapFails) version = goal
        loading = false
    }

    private suspend fun generate(call: ApplicationCall) {
        val request = standinJson.decodeFromString<StandinGenerate>(call.receiveText())
        val sequence = Sequence(request)
        sequences += sequence
        if (POISON_TOKEN in request.prompt) {
            crash()
            awaitCancellation()
        }
        try {
            call.respondTextWriter(ContentType.parse("application/x-ndjson")) {
                for (line in sequence.out) {
                    write(standinJson.encodeToString(line) + "\n")
                    flush()
                    delivered.addAndGet(line.tokens.size.toLong())
                }
            }
        } finally {
            sequence.cancelled = true
        }
    }

    private suspend fun runTicks() {
        var tick = 0L
        while (isUp) {
            delay(traits.tickMs)
            tick++
            sequences.removeIf { it.cancelled }
            if (!loading) sequences.take(traits.slots).filter { it.isDue(tick) }.forEach(::step)
        }
    }

    private fun Sequence.isDue(tick: Long) = SLOW_TOKEN !in request.prompt || next == 0 || tick % SLOW_TICKS == 0L

    private fun step(sequence: Sequence) {
        val request = sequence.request
        val attempt = request.attempt
        if (sequence.next < request.maxTokens) {
            val token = tokenAt(request.prompt, request.seed, sequence.next, version)
            sequence.out.trySend(StandinLine(attempt, sequence.next, listOf(token), version))
            sequence.next++
        }
        if (sequence.next >= request.maxTokens) {
            sequence.out.trySend(StandinLine(attempt, done = true, total = sequence.next))
            sequence.out.close()
            sequence.cancelled = true
        }
    }
}
