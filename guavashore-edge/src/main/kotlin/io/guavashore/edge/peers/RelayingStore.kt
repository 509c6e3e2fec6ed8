/*
 * Store client that relays calls through peers while the store does not serve this VM.
 *
 * The store may fail for some VMs for seconds, by refusing, resetting or not responding, while it serves the others.
 * A direct call that fails is repeated through a peer that can reach the store. After a failure, calls go to a peer
 * first until a direct call succeeds again. A watch that was open during an outage may never be answered, even after
 * the store is available again; such watches are ended, so that their callers list the collection to catch up.
 */
package io.guavashore.edge.peers

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.github.oshai.kotlinlogging.KotlinLogging
import io.guavashore.api.MonotonicClock
import io.guavashore.api.VmId
import io.guavashore.metrics.Metrics
import io.guavashore.platform.CallStore
import io.guavashore.platform.StoreCall
import io.guavashore.platform.StoreCallError
import io.guavashore.platform.StoreResponse
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch

private val log = KotlinLogging.logger {}

/** Calls one peer; null if it does not reply in time. */
typealias CallPeer = suspend (vm: VmId, call: PeerCall, timeoutMs: Long) -> PeerReply?

/** Store client of one VM. Not thread-safe. */
class RelayingStore(
    private val direct: CallStore,
    private val relays: () -> List<VmId>,
    private val callPeer: CallPeer,
    private val clock: MonotonicClock,
    private val metrics: Metrics,
) {
    private var failedSinceMs: Long? = null
    private var tryDirectAtMs = 0L

    /** Monotonic time of the last call to which the store stated that it is unavailable; null after another outcome. */
    private var outSinceMs: Long? = null

    /** Monotonic time of the last call with another outcome. */
    private var otherOutcomeMs = 0L
    private val openWatches = HashSet<CompletableDeferred<Result<StoreResponse, StoreCallError>>>()

    /** False from the first failed direct call until one succeeds. */
    val isReachable: Boolean get() = failedSinceMs == null

    /**
     * True if the store has stated lately that it is unavailable, to this VM and, where one is known, to a peer. A call
     * without a response or over a rate limit is no evidence: the store may serve other VMs all the while.
     */
    val isOut: Boolean get() = outSinceMs?.let { clock() - it <= OUTAGE_EVIDENCE_MS } ?: false

    /** Executes the store call of a peer directly, so that none is relayed twice. */
    suspend fun callForPeer(call: PeerCall.Store): PeerReply {
        val outcome = callDirect(call.call, call.timeoutMs)
        return PeerReply.Store(
            response = if (outcome.isOk) outcome.value else null,
            fault = if (outcome.isErr) outcome.error else null,
        )
    }

    private suspend fun callDirect(
        call: StoreCall,
        timeoutMs: Long,
    ): Result<StoreResponse, StoreCallError> {
        val outcome = if (call is StoreCall.Watch) watch(call, timeoutMs) else direct(call, timeoutMs)
        observe(outcome)
        metrics.count("store.calls", "call" to call.javaClass.simpleName, "ok" to outcome.isOk.toString())
        return outcome
    }

    /** Calls the store directly, or through a peer if direct calls fail. */
    suspend fun call(
        call: StoreCall,
        timeoutMs: Long,
    ): Result<StoreResponse, StoreCallError> {
        val attempts = StoreCallAttempts()
        val sentAtMs = clock()
        val outcome = attempt(call, timeoutMs, attempts)
        if (!attempts.wereUnavailable) {
            outSinceMs = null
            otherOutcomeMs = maxOf(otherOutcomeMs, sentAtMs)
        } else if (sentAtMs >= otherOutcomeMs) {
            outSinceMs = sentAtMs
        }
        return outcome
    }

    private suspend fun attempt(
        call: StoreCall,
        timeoutMs: Long,
        attempts: StoreCallAttempts,
    ): Result<StoreResponse, StoreCallError> {
        val relay = relays().firstOrNull()
        if (relay != null && !isReachable && clock() < tryDirectAtMs) {
            val relayed = attempts.add(callThroughPeer(relay, call, timeoutMs))
            if (!relayed.isUnavailable()) return relayed
        }
        tryDirectAtMs = clock() + DIRECT_RETRY_INTERVAL_MS
        val direct = attempts.add(callDirect(call, timeoutMs))
        if (!direct.isUnavailable() || relay == null) return direct
        val outcome = attempts.add(callThroughPeer(relay, call, timeoutMs))
        log.info {
            "store call through peer: peer=$relay call=${call.javaClass.simpleName} attempts=${attempts.count} " +
                "ok=${outcome.isOk} fault=${if (outcome.isErr) outcome.error.message else null}"
        }
        return outcome
    }

    /** Ends all open watches, since their events may have been lost in an outage. */
    fun endWatches() {
        if (openWatches.isEmpty()) return
        log.info { "open watches ended after a store outage: open=${openWatches.size}" }
        openWatches.toList().forEach { it.complete(Err(StoreCallError.WatchEnded)) }
    }

    private suspend fun watch(
        call: StoreCall.Watch,
        timeoutMs: Long,
    ): Result<StoreResponse, StoreCallError> =
        coroutineScope {
            val result = CompletableDeferred<Result<StoreResponse, StoreCallError>>()
            val job = launch { result.complete(direct(call, timeoutMs)) }
            openWatches += result
            try {
                result.await()
            } finally {
                openWatches -= result
                job.cancel()
            }
        }

    private suspend fun callThroughPeer(
        relay: VmId,
        call: StoreCall,
        timeoutMs: Long,
    ): Result<StoreResponse, StoreCallError> {
        val reply = callPeer(relay, PeerCall.Store(call, timeoutMs), timeoutMs + PEER_MARGIN_MS)
        if (reply !is PeerReply.Store) return Err(StoreCallError.Unknown("peer $relay did not reply to the store call"))
        reply.response?.let { return Ok(it) }
        return Err(reply.fault ?: StoreCallError.Unknown("peer $relay replied without an outcome"))
    }

    private fun observe(outcome: Result<StoreResponse, StoreCallError>) {
        val outageStartMs = failedSinceMs
        if (outcome.isUnavailable()) {
            if (outageStartMs == null) log.warn { "store unreachable: fault=${outcome.error.message}" }
            failedSinceMs = outageStartMs ?: clock()
        } else {
            failedSinceMs = null
            if (outageStartMs != null) onReachableAgain(clock() - outageStartMs)
        }
    }

    private fun onReachableAgain(afterMs: Long) {
        log.info { "store reachable again: after_ms=$afterMs" }
        if (afterMs >= OUTAGE_MS) endWatches()
    }

    private fun Result<StoreResponse, StoreCallError>.isUnavailable() =
        isErr && (error is StoreCallError.Unknown || error is StoreCallError.NotDone)

    private companion object {
        /** Interval of direct attempts while calls are relayed. */
        const val DIRECT_RETRY_INTERVAL_MS = 1_000L

        /**
         * A single lost response makes the store count as unreachable for less than this, since other calls of this
         * VM follow within a second.
         */
        const val OUTAGE_MS = 1_000L

        /** Somewhat longer than the time between two renewals of a lease, each of which fails during an outage. */
        const val OUTAGE_EVIDENCE_MS = 1_800L

        /** Round trip between zones plus the peer's processing time. */
        const val PEER_MARGIN_MS = 100L
    }
}
