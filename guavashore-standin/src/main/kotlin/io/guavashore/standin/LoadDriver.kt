/*
 * Load driver that alternates between calling a target directly and calling it through an entry, so that the entry's
 * own cost shows as the difference and the ratio of the two.
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
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import java.io.File
import java.util.concurrent.atomic.AtomicInteger

/** URLs and process IDs of the measured system, and the number of streams to hold open. */
internal class LoadSetup(
    val entry: String,
    val plainTarget: String,
    val engineTarget: String,
    val entryPid: Long,
    val stewardPid: Long,
    val openStreams: Int,
)

/** Latencies of direct calls and of calls through the entry in microseconds, and the entry's CPU time. */
@Serializable
internal data class LatencyFigures(
    @SerialName("what") val measurement: String,
    val requests: Int,
    val directP50Micros: Long,
    val directP99Micros: Long,
    val entryP50Micros: Long,
    val entryP99Micros: Long,
    val ratioP50: Double,
    val entryCpuMicrosPerRequest: Double,
    val entryCpuMicrosPerToken: Double? = null,
)

/** CPU share and resident memory of a process that is idle or only holds open streams. */
@Serializable
internal data class ProcessFigures(
    @SerialName("what") val measurement: String,
    val cpuShareOfCore: Double,
    val residentMiB: Double,
)

/** Runs the measurements and prints each as one line of JSON. */
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
        printJson(compare("plain call", { price(directPrice) }, { price(entryPrice) }))
        compare("warm-up", { streamDirect() }, { streamThroughEntry() }, TOKENS)
        printJson(compare("stream of $TOKENS tokens", { streamDirect() }, { streamThroughEntry() }, TOKENS))
        delay(SETTLE_MS)
        println(Json.encodeToString(measureProcess("steward, no change", setup.stewardPid)))
        println(Json.encodeToString(measureProcess("entry, no calls", setup.entryPid)))
        println(Json.encodeToString(measureOpenStreams()))
    }

    private fun printJson(figures: LatencyFigures) = println(Json.encodeToString(figures))

    /** Alternates rounds of [direct] and [entry], so that a change in the machine's speed affects both equally. */
    private suspend fun compare(
        measurement: String,
        direct: suspend () -> Unit,
        entry: suspend () -> Unit,
        tokens: Int? = null,
    ): LatencyFigures {
        val directMicros = ArrayList<Long>()
        val entryMicros = ArrayList<Long>()
        var cpuMicros = 0.0
        repeat(ROUNDS) {
            val calls = if (tokens == null) CALLS_PER_ROUND else STREAMS_PER_ROUND
            directMicros += measureLatencies(calls, direct)
            val cpuMicrosBefore = cpuMicrosOf(setup.entryPid)
            entryMicros += measureLatencies(calls, entry)
            cpuMicros += cpuMicrosOf(setup.entryPid) - cpuMicrosBefore
        }
        directMicros.sort()
        entryMicros.sort()
        val perRequest = cpuMicros / entryMicros.size
        return LatencyFigures(
            measurement = measurement,
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

    private suspend fun measureLatencies(
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

    private suspend fun streamDirect() {
        val body = """{"attempt":"x","prompt":[1],"maxTokens":$TOKENS}"""
        readLines("${setup.engineTarget}/generate", body, TOKENS + 1)
    }

    private suspend fun streamThroughEntry() {
        val body = """{"prompt":[1],"max_tokens":$TOKENS,"stream":true}"""
        readLines("${setup.entry}/v1/demo/chat/generate", body, TOKENS + 1)
    }

    private suspend fun readLines(
        url: String,
        body: String,
        lines: Int,
    ) {
        var received = 0
        client
            .preparePost(url) {
                header(HttpHeaders.Authorization, "Bearer ${DemoCallers.APP_KEY}")
                contentType(ContentType.Application.Json)
                setBody(body)
            }.execute { response ->
                val channel = response.bodyAsChannel()
                while (channel.readUTF8Line() != null) received++
            }
        check(received == lines) { "incomplete stream from $url: got $received of $lines lines" }
    }

    private suspend fun measureProcess(
        measurement: String,
        pid: Long,
    ): ProcessFigures {
        val cpuMicrosBefore = cpuMicrosOf(pid)
        delay(PROCESS_WINDOW_MS)
        val micros = cpuMicrosOf(pid) - cpuMicrosBefore
        return ProcessFigures(measurement, micros / PROCESS_WINDOW_MS / MICROS_PER_MS, residentMiB(pid))
    }

    /** CPU share and resident memory of the entry while many streams are open. */
    private suspend fun measureOpenStreams(): ProcessFigures =
        coroutineScope {
            val open = AtomicInteger()
            val body = """{"prompt":[$SLOW_TOKEN],"max_tokens":30000,"stream":true}"""
            val streams =
                List(setup.openStreams) {
                    launch {
                        nullOnFailure {
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
            repeat(MAX_OPEN_POLLS) { if (open.get() < setup.openStreams) delay(OPEN_POLL_INTERVAL_MS) }
            val figures = measureProcess("entry, ${open.get()} open streams", setup.entryPid)
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
        const val PROCESS_WINDOW_MS = 10_000L
        const val MAX_OPEN_POLLS = 150
        const val OPEN_POLL_INTERVAL_MS = 200L
        const val NS_PER_MICRO = 1_000L
        const val MICROS_PER_MS = 1_000.0
        const val KIB_PER_MIB = 1_024.0
        const val P50 = 50
        const val P99 = 99
        const val PERCENT = 100
    }
}
