/*
 * Sends reports to a steward and applies its responses: this VM's steward first, another one of the zone if it does
 * not respond.
 */
package io.guavashore.entry

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import io.github.oshai.kotlinlogging.KotlinLogging
import io.guavashore.api.Endpoint
import io.guavashore.api.Incarnation
import io.guavashore.api.MonotonicClock
import io.guavashore.api.VmId
import io.guavashore.calls.SuspectGuard
import io.guavashore.usage.ChangedCounters
import io.guavashore.usage.UsageLedger
import io.guavashore.wire.ControlClient
import io.guavashore.wire.ControlMessage
import io.guavashore.wire.WireError
import io.guavashore.wire.expect
import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull

private val log = KotlinLogging.logger {}

/** Connection of an entry to the stewards of its zone. */
internal class StewardClient(
    private val self: VmId,
    private val incarnation: Incarnation,
    stewards: List<Endpoint>,
    private val state: EntryState,
    private val guard: SuspectGuard,
    private val ledger: UsageLedger,
    private val clock: MonotonicClock,
    selector: SelectorManager,
    private val reportIntervalMs: Long = 1_000,
    private val minReportGapMs: Long = 100,
) {
    private val reportClients = stewards.map { it to ControlClient(it, selector) }
    private val requestClients = stewards.map { ControlClient(it, selector, CLAIM_TIMEOUT_MS) }
    private val changedCounters = ChangedCounters(clock)
    private val reportRequests = Channel<Unit>(Channel.CONFLATED)
    private var currentIndex = 0
    private var respondingSteward: Endpoint? = null

    /** Requests the next report after the minimum gap instead of the full interval. Never blocks. */
    fun reportSoon() {
        reportRequests.trySend(Unit)
    }

    /** Reports at every interval, or earlier on request, until cancelled. */
    suspend fun run() {
        while (true) {
            report()
            delay(minReportGapMs)
            withTimeoutOrNull(reportIntervalMs - minReportGapMs) { reportRequests.receive() }
        }
    }

    /** Sends [message] to the steward that responds to the reports, and returns its response. */
    suspend fun exchange(message: ControlMessage): Result<ControlMessage, WireError> =
        requestClients[currentIndex].exchange(message)

    /** Sends one report; used at shutdown so that no counted usage is lost. */
    suspend fun reportOnce() = report()

    private suspend fun report() {
        val usage = changedCounters.pick(ledger.counters())
        val message =
            ControlMessage.EntryReport(
                vm = self,
                incarnation = incarnation,
                knownFacts = state.facts.versions(),
                demands = state.takeDemands(),
                inFlight = state.inFlightOnLeavingTargets(),
                usage = usage,
                suspects = guard.records(),
            )
        repeat(reportClients.size) {
            val (endpoint, client) = reportClients[currentIndex]
            val sentAtMs = clock()
            client
                .exchange(message)
                .expect<ControlMessage.EntryUpdate>()
                .onSuccess {
                    changedCounters.confirm(usage)
                    recordResponse(endpoint)
                    state.accept(it, sentAtMs)
                    return
                }.onFailure {
                    if (respondingSteward == endpoint) {
                        log.warn { "report to steward failed, trying the next: address=$endpoint cause=${it.message}" }
                    }
                    currentIndex = (currentIndex + 1) % reportClients.size
                    changedCounters.reset()
                }
        }
        respondingSteward = null
        state.refresh()
    }

    private fun recordResponse(endpoint: Endpoint) {
        if (respondingSteward != endpoint) log.info { "steward responds: address=$endpoint" }
        respondingSteward = endpoint
    }

    private companion object {
        const val CLAIM_TIMEOUT_MS = 4_000L
    }
}
