/*
 * Calls to the store, with the help of peers.
 *
 * Load pattern: the store turns some VMs away for seconds, by refusals, resets or silence, while it serves the others.
 * A call that fails here is handed to a peer that the store serves. After failures, calls go to a peer first until a
 * direct one has succeeded again.
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

private val log = KotlinLogging.logger {}

/** Calls one peer; null without an answer. */
typealias CallPeer = suspend (vm: VmId, call: PeerCall, timeoutMs: Long) -> PeerReply?

/** Store as one VM reaches it. */
class SharedStore(
    private val direct: CallStore,
    private val helpers: () -> List<VmId>,
    private val callPeer: CallPeer,
    private val clock: MonotonicClock,
    private val metrics: Metrics,
) {
    private var failedSinceMs: Long? = null
    private var tryDirectAtMs = 0L

    /** False while direct calls fail. */
    val isReachable: Boolean get() = failedSinceMs == null

    /** Calls the store directly only; what peers are served with. */
    suspend fun callDirect(
        call: StoreCall,
        timeoutMs: Long,
    ): Result<StoreAnswer, StoreFault> {
        val outcome = direct(call, timeoutMs)
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
            if (since != null) log.info { "store regained: after_ms=${clock() - since}" }
            failedSinceMs = null
        }
    }

    private fun Result<StoreAnswer, StoreFault>.isOutage() =
        isErr && (error is StoreFault.Unknown || error is StoreFault.NotDone)

    private companion object {
        const val DIRECT_EVERY_MS = 1_000L

        /** Round trip between zones and the peer's own turn. */
        const val PEER_MARGIN_MS = 100L
    }
}
