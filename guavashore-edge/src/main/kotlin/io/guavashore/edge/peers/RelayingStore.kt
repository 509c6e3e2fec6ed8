/*
 * Calls to the store, with the help of peers.
 *
 * Load pattern: the store turns some VMs away for seconds, by refusals, resets or silence, while it serves the others.
 * A call that fails here is handed to a peer that the store serves. After failures, calls go to a peer first until a
 * direct one has succeeded again. A watch that was open while the store was silent may never be answered, though the
 * store serves again; such watches are ended, so that their owners list what they missed.
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
import io.guavashore.platform.StoreAnswer
import io.guavashore.platform.StoreCall
import io.guavashore.platform.StoreFault
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch

private val log = KotlinLogging.logger {}

/** Calls one peer; null without an answer. */
typealias CallPeer = suspend (vm: VmId, call: PeerCall, timeoutMs: Long) -> PeerReply?

/** Store as one VM reaches it. */
class RelayingStore(
    private val direct: CallStore,
    private val helpers: () -> List<VmId>,
    private val callPeer: CallPeer,
    private val clock: MonotonicClock,
    private val metrics: Metrics,
) {
    private var failedSinceMs: Long? = null
    private var tryDirectAtMs = 0L
    private val openWatches = HashSet<CompletableDeferred<Result<StoreAnswer, StoreFault>>>()

    /** False while direct calls fail. */
    val isReachable: Boolean get() = failedSinceMs == null

    /** Calls the store directly only; what peers are served with. */
    suspend fun callDirect(
        call: StoreCall,
        timeoutMs: Long,
    ): Result<StoreAnswer, StoreFault> {
        val outcome = if (call is StoreCall.Watch) watch(call, timeoutMs) else direct(call, timeoutMs)
        observe(outcome)
        metrics.count("store.calls", "call" to call.javaClass.simpleName, "ok" to outcome.isOk.toString())
        return outcome
    }

    /** Calls the store, through a peer if need be. */
    suspend fun call(
        call: StoreCall,
        timeoutMs: Long,
    ): Result<StoreAnswer, StoreFault> {
        val helper = helpers().firstOrNull()
        if (helper != null && !isReachable && clock() < tryDirectAtMs) {
            val answer = through(helper, call, timeoutMs)
            if (answer != null && !answer.isOutage()) return answer
        }
        tryDirectAtMs = clock() + DIRECT_EVERY_MS
        val first = callDirect(call, timeoutMs)
        if (!first.isOutage() || helper == null) return first
        val second = through(helper, call, timeoutMs) ?: return first
        log.info { "store call through peer: peer=$helper call=${call.javaClass.simpleName} ok=${second.isOk}" }
        return merge(first, second)
    }

    /** Ends the watches that are open: what they wait for may have been lost in an outage. */
    fun endWatches() {
        if (openWatches.isEmpty()) return
        log.info { "watches ended after an outage: open=${openWatches.size}" }
        openWatches.toList().forEach { it.complete(Err(StoreFault.WatchEnded)) }
    }

    private suspend fun watch(
        call: StoreCall.Watch,
        timeoutMs: Long,
    ): Result<StoreAnswer, StoreFault> =
        coroutineScope {
            val answer = CompletableDeferred<Result<StoreAnswer, StoreFault>>()
            val work = launch { answer.complete(direct(call, timeoutMs)) }
            openWatches += answer
            try {
                answer.await()
            } finally {
                openWatches -= answer
                work.cancel()
            }
        }

    private suspend fun through(
        helper: VmId,
        call: StoreCall,
        timeoutMs: Long,
    ): Result<StoreAnswer, StoreFault>? {
        val reply = callPeer(helper, PeerCall.Store(call, timeoutMs), timeoutMs + PEER_MARGIN_MS)
        if (reply !is PeerReply.Store) return Err(StoreFault.Unknown("no answer of peer $helper"))
        reply.answer?.let { return Ok(it) }
        return reply.fault?.let { Err(it) }
    }

    /** A second refusal does not undo the doubt that the first call left. */
    private fun merge(
        first: Result<StoreAnswer, StoreFault>,
        second: Result<StoreAnswer, StoreFault>,
    ): Result<StoreAnswer, StoreFault> {
        val doubt = first.isErr && first.error is StoreFault.Unknown
        return if (doubt && second.isErr && second.error is StoreFault.NotDone) first else second
    }

    private fun observe(outcome: Result<StoreAnswer, StoreFault>) {
        val since = failedSinceMs
        if (outcome.isOutage()) {
            if (since == null) log.warn { "store lost: fault=${outcome.error.message}" }
            failedSinceMs = since ?: clock()
        } else {
            failedSinceMs = null
            if (since != null) onRegained(clock() - since)
        }
    }

    private fun onRegained(afterMs: Long) {
        log.info { "store regained: after_ms=$afterMs" }
        if (afterMs >= OUTAGE_MS) endWatches()
    }

    private fun Result<StoreAnswer, StoreFault>.isOutage() =
        isErr && (error is StoreFault.Unknown || error is StoreFault.NotDone)

    private companion object {
        const val DIRECT_EVERY_MS = 1_000L

        /** Longer than a single lost answer keeps the store lost: other calls of this VM follow within a second. */
        const val OUTAGE_MS = 1_000L

        /** Round trip between zones and the peer's own turn. */
        const val PEER_MARGIN_MS = 100L
    }
}
