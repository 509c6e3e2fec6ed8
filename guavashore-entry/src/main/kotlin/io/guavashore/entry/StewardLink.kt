/*
 * Reports to a steward and takes in its answers: this VM's steward first, another of the zone if it does not answer.
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

/** Link of an entry to its zone's stewards. */
internal class StewardLink(
    private val self: VmId,
    private val incarnation: Incarnation,
    stewards: List<Endpoint>,
    private val state: EntryState,
    private val guard: SuspectGuard,
    private val ledger: UsageLedger,
    private val clock: MonotonicClock,
    selector: SelectorManager,
    private val reportEveryMs: Long = 1_000,
    private val leastGapMs: Long = 100,
) {
    private val clients = stewards.map { it to ControlClient(it, selector) }
    private val requests = stewards.map { ControlClient(it, selector, REQUEST_TIMEOUT_MS) }
    private val changed = ChangedCounters(clock)
    private val wake = Channel<Unit>(Channel.CONFLATED)
    private var current = 0
    private var answering: Endpoint? = null

    /** Sends the next report soon. Never blocks. */
    fun wake() {
        wake.trySend(Unit)
    }

    /** Reports until cancelled. */
    suspend fun run() {
        while (true) {
            report()
            delay(leastGapMs)
            withTimeoutOrNull(reportEveryMs - leastGapMs) { wake.receive() }
        }
    }

    /** One exchange with the steward that answers the reports. */
    suspend fun exchange(message: ControlMessage): Result<ControlMessage, WireError> =
        requests[current].exchange(message)

    /** Sends a last report, so that nothing that was counted is lost. */
    suspend fun reportOnce() = report()

    private suspend fun report() {
        val usage = changed.pick(ledger.counters())
        val message =
            ControlMessage.EntryReport(
                vm = self,
                incarnation = incarnation,
                knownFacts = state.facts.versions(),
                demands = state.takeDemands(),
                inFlight = state.inFlightOnLeaving(),
                usage = usage,
                suspects = guard.records(),
            )
        repeat(clients.size) {
            val (endpoint, client) = clients[current]
            val sentAtMs = clock()
            client
                .exchange(message)
                .expect<ControlMessage.EntryUpdate>()
                .onSuccess {
                    changed.confirm(usage)
                    noteAnswering(endpoint)
                    state.accept(it, sentAtMs)
                    return
                }.onFailure {
                    if (answering == endpoint) log.warn { "steward $endpoint: ${it.message}" }
                    current = (current + 1) % clients.size
                    changed.reset()
                }
        }
        answering = null
        state.refresh()
    }

    private fun noteAnswering(endpoint: Endpoint) {
        if (answering != endpoint) log.info { "steward $endpoint answers" }
        answering = endpoint
    }

    private companion object {
        const val REQUEST_TIMEOUT_MS = 4_000L
    }
}
