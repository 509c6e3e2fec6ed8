/*
 * Load on an entry and, in turn, straight on a target, so that the entry's own cost shows as a difference and a
 * ratio.
 */
package io.guavashore.standin

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.get
import io.ktor.client.request.header
import io.ktor.client.request.preparePost
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsChannel
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.contentType
import io.ktor.utils.io.readUTF8Line
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import java.io.File
import java.util.concurrent.atomic.AtomicInteger

/** Where the load goes. */
internal class LoadSetup(
    val entry: String,
    val plainTarget: String,
    val engineTarget: String,
    val entryPid: Long,
    val stewardPid: Long,
    val openStreams: Int,
)

/** Latency of one way in microseconds, and the entry's processor time. */
@Serializable
internal data class LatencyFigures(
    val what: String,
    val requests: Int,
    val directP50Micros: Long,
    val directP99Micros: Long,
    val entryP50Micros: Long,
    val entryP99Micros: Long,
    val ratioP50: Double,
    val entryCpuMicrosPerRequest: Double,
    val entryCpuMicrosPerToken: Double? = null,
)

/** Figures of a process while nothing or only open streams load it. */
@Serializable
internal data class ProcessFigures(
    val what: String,
    val cpuShareOfCore: Double,
    val residentMiB: Double,
)

/** Driver of one measurement. */
internal class LoadDriver(
    private val setup: LoadSetup,
) {
    private val client =
        HttpClient(CIO) {
            expectSuccess = false
            engine {
                requestTimeout = 0
                maxConnectionsCount = CONNECTIONS
                endpoint.maxConnectionsPerRoute = CONNECTIONS
            }
        }

    suspend fun run() {
        val directPrice = "${setup.plainTarget}/price/a"
        val entryPrice = "${setup.entry}/v1/demo/price/call/price/a"
        repeat(WARM_UP_ROUNDS) { compare("warm-up", { price(directPrice) }, { price(entryPrice) }) }
        print(compare("plain call", { price(directPrice) }, { price(entryPrice) }))
        compare("warm-up", { direct() }, { streamed() }, TOKENS)
        print(compare("stream of $TOKENS tokens", { direct() }, { streamed() }, TOKENS))
        delay(SETTLE_MS)
        println(Json.encodeToString(idle("steward, no change", setup.stewardPid)))
        println(Json.encodeToString(idle("entry, no calls", setup.entryPid)))
        println(Json.encodeToString(manyStreams()))
    }

    private fun print(figures: LatencyFigures) = println(Json.encodeToString(figures))

    /** Rounds of both ways in turn, so that a change of the machine's speed meets both alike. */
    private suspend fun compare(
        what: String,
        direct: suspend () -> Unit,
        entry: suspend () -> Unit,
        tokens: Int? = null,
    ): LatencyFigures {
        val directMicros = ArrayList<Long>()
        val entryMicros = ArrayList<Long>()
        var cpuMicros = 0.0
        repeat(ROUNDS) {
            val calls = if (tokens == null) CALLS_PER_ROUND else STREAMS_PER_ROUND
            directMicros += timed(calls, direct)
            val before = cpuMicrosOf(setup.entryPid)
            entryMicros += timed(calls, entry)
            cpuMicros += cpuMicrosOf(setup.entryPid) - before
        }
        directMicros.sort()
        entryMicros.sort()
        val perRequest = cpuMicros / entryMicros.size
        return LatencyFigures(
            what = what,
            requests = entryMicros.size,
            directP50Micros = directMicros.percentile(P50),
            directP99Micros = directMicros.percentile(P99),
            entryP50Micros = entryMicros.percentile(P50),
            entryP99Micros = entryMicros.percentile(P99),
            ratioP50 = entryMicros.percentile(P50).toDouble() / directMicros.percentile(P50),
            entryCpuMicrosPerRequest = perRequest,
            entryCpuMicrosPerToken = tokens?.let { perRequest / it },
        )
    }

    private suspend fun timed(
        calls: Int,
        call: suspend () -> Unit,
    ): List<Long> =
        coroutineScope {
            List(CALLERS) {
                async {
                    List(calls) {
                        val startedNs = System.nanoTime()
                        call()
                        (System.nanoTime() - startedNs) / NS_PER_MICRO
                    }
                }
            }.awaitAll().flatten()
        }

    private suspend fun price(url: String) {
        check(client.get(url).bodyAsText() == priceOf("a").toString()) { "wrong price from $url" }
    }

    private suspend fun direct() {
        val body = """{"attempt":"x","prompt":[1],"maxTokens":$TOKENS}"""
        readAll("${setup.engineTarget}/generate", body, TOKENS + 1)
    }

    private suspend fun streamed() {
        val body = """{"prompt":[1],"max_tokens":$TOKENS,"stream":true}"""
        readAll("${setup.entry}/v1/demo/chat/generate", body, TOKENS + 1)
    }

    private suspend fun readAll(
        url: String,
        body: String,
        lines: Int,
    ) {
        var seen = 0
        client
            .preparePost(url) {
                header(HttpHeaders.Authorization, "Bearer ${DemoCallers.APP_KEY}")
                contentType(ContentType.Application.Json)
                setBody(body)
            }.execute { response ->
                val channel = response.bodyAsChannel()
                while (channel.readUTF8Line() != null) seen++
            }
        check(seen == lines) { "$seen of $lines lines from $url" }
    }

    private suspend fun idle(
        what: String,
        pid: Long,
    ): ProcessFigures {
        val before = cpuMicrosOf(pid)
        delay(IDLE_MS)
        val micros = cpuMicrosOf(pid) - before
        return ProcessFigures(what, micros / IDLE_MS / MICROS_PER_MS, residentMiB(pid))
    }

    /** Memory of the entry while many streams are open. */
    private suspend fun manyStreams(): ProcessFigures =
        coroutineScope {
            val open = AtomicInteger()
            val body = """{"prompt":[$SLOW_TOKEN],"max_tokens":30000,"stream":true}"""
            val streams =
                List(setup.openStreams) {
                    launch {
                        attempt {
                            client
                                .preparePost("${setup.entry}/v1/demo/chat/generate") {
                                    header(HttpHeaders.Authorization, "Bearer ${DemoCallers.APP_KEY}")
                                    setBody(body)
                                }.execute { response ->
                                    val channel = response.bodyAsChannel()
                                    if (channel.readUTF8Line()?.contains("tokens") == true) open.incrementAndGet()
                                    while (channel.readUTF8Line() != null) Unit
                                }
                        }
                    }
                }
            repeat(OPEN_TRIES) { if (open.get() < setup.openStreams) delay(OPEN_POLL_MS) }
            val figures = idle("entry, ${open.get()} open streams", setup.entryPid)
            streams.forEach { it.cancel() }
            figures
        }

    private fun cpuMicrosOf(pid: Long): Double =
        ProcessHandle
            .of(pid)
            .get()
            .info()
            .totalCpuDuration()
            .get()
            .toNanos() / NS_PER_MICRO.toDouble()

    private fun residentMiB(pid: Long): Double {
        val line = File("/proc/$pid/status").readLines().first { it.startsWith("VmRSS") }
        return line.filter { it.isDigit() }.toLong() / KIB_PER_MIB
    }

    private fun List<Long>.percentile(percent: Int): Long = this[(size - 1) * percent / PERCENT]

    private companion object {
        const val CONNECTIONS = 10_000
        const val WARM_UP_ROUNDS = 4
        const val ROUNDS = 5
        const val CALLERS = 8
        const val CALLS_PER_ROUND = 60
        const val STREAMS_PER_ROUND = 6
        const val TOKENS = 64
        const val SETTLE_MS = 15_000L
        const val IDLE_MS = 10_000L
        const val OPEN_TRIES = 150
        const val OPEN_POLL_MS = 200L
        const val NS_PER_MICRO = 1_000L
        const val MICROS_PER_MS = 1_000.0
        const val KIB_PER_MIB = 1_024.0
        const val P50 = 50
        const val P99 = 99
        const val PERCENT = 100
    }
}
