/*
 * Demonstration: callers of a price service, of orders and of a model, and a trainer with one step, while new
 * weights come out and the entry that owns the step is killed half way. Every answer is checked against what it
 * must be.
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

/** Where the demonstration runs. */
internal class DemoSetup(
    val entries: List<String>,
    val operations: List<String>,
    val platform: String,
    val killPid: Long?,
    val groups: Int,
)

/** Driver of the demonstration. */
internal class DemoDriver(
    private val setup: DemoSetup,
) {
    private val client =
        HttpClient(CIO) {
            expectSuccess = false
            engine { requestTimeout = 0 }
        }
    private val tally = DemoTally()
    private val callers = DemoCallers(client, setup.entries, tally)
    private val trainer = DemoTrainer(client, setup.entries, tally, setup.groups)

    /** Runs it all; true if every check held. */
    suspend fun run(): Boolean {
        if (!waitUntilReady()) {
            println("the entries did not become ready in time")
            return false
        }
        coroutineScope {
            val calls = List(CALLERS) { launch { callers.run(it) } }
            val weights = launch { publishWeights() }
            val step = async { trainer.run(onHalf = ::killEntry) }
            step.await()
            delay(AFTER_STEP_MS)
            (calls + weights).forEach { it.cancelAndJoin() }
        }
        val truth = waitForUsage()
        return report(truth)
    }

    private fun killEntry() {
        val pid = setup.killPid ?: return
        println("half of the step is there: killing the entry that owns it (process $pid)")
        ProcessHandle.of(pid).ifPresent { it.destroyForcibly() }
    }

    private suspend fun publishWeights() {
        while (true) {
            delay(WEIGHTS_EVERY_MS)
            val version = trainer.nextVersion()
            attempt { client.post("${setup.platform}/admin/weights/demo/engines/$version") }
        }
    }

    private suspend fun waitUntilReady(): Boolean {
        repeat(READY_TRIES) {
            val ready = setup.operations.all { url -> attempt { client.get("$url/readyz").status.isSuccess() } == true }
            if (ready && callers.probe()) return true
            delay(READY_POLL_MS)
        }
        return false
    }

    /** Waits until the windows of the demonstration are reported. */
    private suspend fun waitForUsage(): StandinTruth? {
        var truth: StandinTruth? = null
        repeat(USAGE_TRIES) {
            truth =
                attempt {
                    Json.decodeFromString<StandinTruth>(client.get("${setup.platform}/admin/truth").bodyAsText())
                } ?: truth
            val billed = truth?.billedSamples() ?: 0
            if (billed >= tally.delivered.get()) return truth
            delay(READY_POLL_MS)
        }
        return truth
    }

    private fun report(truth: StandinTruth?): Boolean {
        val repeated = truth?.orderRuns?.count { it.value > 1 } ?: -1
        val lost = tally.confirmedOrders.count { it !in truth?.orderRuns.orEmpty() }
        println("calls: ${tally.callsOk} answered, ${tally.refused} refused, ${tally.broken} broken by the kill")
        println("orders: ${tally.confirmedOrders.size} confirmed, $repeated run twice, $lost confirmed but not run")
        println(
            "step: ${tally.delivered} samples of weights ${tally.versions.sorted()}, " +
                "${tally.moves} moves to another entry",
        )
        println(
            "usage: ${truth?.billedSamples()} samples billed, " +
                "${truth?.usage?.size} reports, ${truth?.conflictingReports} conflicting",
        )
        println("orders to the platform by zone and fencing number: ${truth?.ordersByFencing}")
        val clean =
            tally.isClean() &&
                tally.delivered.get() == setup.groups * DemoTrainer.SAMPLES_PER_GROUP &&
                repeated == 0 &&
                lost == 0 &&
                truth?.conflictingReports == 0
        println("${if (clean) "demo ok" else "demo FAILED"}: ${tally.line()}")
        return clean
    }

    private fun StandinTruth.billedSamples(): Long =
        usage.distinctBy { it.windowStartMs }.sumOf { report ->
            report.lines.sumOf {
                it.amount.samples +
                    it.adjustment.samples
            }
        }

    private companion object {
        const val CALLERS = 6
        const val READY_TRIES = 300
        const val READY_POLL_MS = 200L
        const val USAGE_TRIES = 90
        const val AFTER_STEP_MS = 500L
        const val WEIGHTS_EVERY_MS = 1_500L
    }
}

/** Runs [block]; null if it failed. */
internal suspend fun <T> attempt(block: suspend () -> T): T? =
    try {
        block()
    } catch (e: CancellationException) {
        throw e
    } catch (e: Exception) {
        null
    }
