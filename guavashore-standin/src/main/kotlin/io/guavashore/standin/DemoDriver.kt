/*
 * Demonstration: callers of a price service, an order service and a model, and a trainer that runs one step. Meanwhile
 * new weights are published, and the entry that owns the step is killed halfway through. Every response is checked
 * against its expected content.
 */
package io.guavashore.standin

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.get
import io.ktor.client.request.post
import io.ktor.client.statement.bodyAsText
import io.ktor.http.isSuccess
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.async
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.json.Json

/** URLs of the system under demonstration. [killPid] is the entry to kill, or null to kill none. */
internal class DemoSetup(
    val entries: List<String>,
    val operations: List<String>,
    val platform: String,
    val killPid: Long?,
    val groups: Int,
)

/** Runs the demonstration and prints its results. */
internal class DemoDriver(
    private val setup: DemoSetup,
) {
    private val client =
        HttpClient(CIO) {
            expectSuccess = false
            engine { requestTimeout = 0 }
        }
    private val counters = DemoCounters()
    private val callers = DemoCallers(client, setup.entries, counters)
    private val trainer = DemoTrainer(client, setup.entries, counters, setup.groups)

    /** Runs the demonstration; true if every check passed. */
    suspend fun run(): Boolean {
        if (!waitUntilReady()) {
            println("entries not ready after $MAX_READY_POLLS polls")
            return false
        }
        coroutineScope {
            val calls = List(CALLERS) { launch { callers.run(it) } }
            val weights = launch { publishWeights() }
            val step = async { trainer.run(onHalfReceived = ::killEntry) }
            step.await()
            delay(CALLS_AFTER_STEP_MS)
            (calls + weights).forEach { it.cancelAndJoin() }
        }
        val observations = awaitUsageReports()
        return report(observations)
    }

    private fun killEntry() {
        val pid = setup.killPid ?: return
        println("half of the groups received: killing the entry that owns the step, pid=$pid")
        ProcessHandle.of(pid).ifPresent { it.destroyForcibly() }
    }

    private suspend fun publishWeights() {
        while (true) {
            delay(WEIGHTS_INTERVAL_MS)
            val version = trainer.advanceVersion()
            nullOnFailure { client.post("${setup.platform}/admin/weights/demo/engines/$version") }
        }
    }

    private suspend fun waitUntilReady(): Boolean {
        repeat(MAX_READY_POLLS) {
            val ready =
                setup.operations.all { url ->
                    nullOnFailure { client.get("$url/readyz").status.isSuccess() } == true
                }
            if (ready && callers.probe()) return true
            delay(POLL_INTERVAL_MS)
        }
        return false
    }

    /**
     * Waits until the usage reports cover all delivered samples. Returns the last observations, null if none could be
     * read.
     */
    private suspend fun awaitUsageReports(): StandinObservations? {
        var observations: StandinObservations? = null
        repeat(MAX_USAGE_POLLS) {
            observations =
                nullOnFailure {
                    Json.decodeFromString<StandinObservations>(client.get("${setup.platform}/admin/truth").bodyAsText())
                } ?: observations
            val reported = observations?.reportedSamples() ?: 0
            if (reported >= counters.delivered.get()) return observations
            delay(POLL_INTERVAL_MS)
        }
        return observations
    }

    private fun report(observations: StandinObservations?): Boolean {
        val repeatedOrders = observations?.orderRuns?.count { it.value > 1 } ?: -1
        val lostOrders = counters.confirmedOrders.count { it !in observations?.orderRuns.orEmpty() }
        println(
            "calls: ${counters.callsOk} succeeded, ${counters.refused} refused, " +
                "${counters.interrupted} interrupted by the kill",
        )
        println(
            "orders: ${counters.confirmedOrders.size} confirmed, $repeatedOrders run more than once, " +
                "$lostOrders confirmed but not run",
        )
        println(
            "step: ${counters.delivered} samples with weight versions ${counters.versions.sorted()}, " +
                "${counters.entryChanges} changes of entry",
        )
        println(
            "usage: ${observations?.reportedSamples()} samples reported, " +
                "${observations?.usage?.size} reports, ${observations?.conflictingReports} conflicting windows",
        )
        println("target orders by zone and fencing number: ${observations?.ordersByFencing}")
        val passed =
            counters.isClean() &&
                counters.delivered.get() == setup.groups * DemoTrainer.SAMPLES_PER_GROUP &&
                repeatedOrders == 0 &&
                lostOrders == 0 &&
                observations?.conflictingReports == 0
        println("${if (passed) "demo ok" else "demo FAILED"}: ${counters.summary()}")
        return passed
    }

    private fun StandinObservations.reportedSamples(): Long =
        usage.distinctBy { it.windowStartMs }.sumOf { report ->
            report.lines.sumOf {
                it.amount.samples +
                    it.adjustment.samples
            }
        }

    private companion object {
        const val CALLERS = 6
        const val MAX_READY_POLLS = 300
        const val POLL_INTERVAL_MS = 200L
        const val MAX_USAGE_POLLS = 90
        const val CALLS_AFTER_STEP_MS = 500L
        const val WEIGHTS_INTERVAL_MS = 1_500L
    }
}

/** Runs [block]; null if it threw. Cancellation is rethrown. */
internal suspend fun <T> nullOnFailure(block: suspend () -> T): T? =
    try {
        block()
    } catch (e: CancellationException) {
        throw e
    } catch (e: Exception) {
        null
    }
