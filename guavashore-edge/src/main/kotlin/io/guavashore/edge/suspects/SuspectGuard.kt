/*
 * Lets requests run on targets, except that equal requests run one at a time or not at all after a target has ended
 * under one of them. See [SuspectRequests] for the decision.
 */
package io.guavashore.edge.suspects

import io.github.oshai.kotlinlogging.KotlinLogging
import io.guavashore.api.MonotonicClock
import io.guavashore.routing.RequestFingerprint
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.withTimeoutOrNull

private val log = KotlinLogging.logger {}

/** Result of [SuspectGuard.run]. */
sealed interface Guarded<out T> {
    data class Ran<T>(
        val value: T,
    ) : Guarded<T>

    /** The request may not run; an equal one may in [retryAfterMs]. */
    data class Refused(
        val retryAfterMs: Long,
    ) : Guarded<Nothing>
}

/** Grants a trial for at most `maxMs`; false while another VM has one. */
typealias BeginTrial = suspend (fingerprint: RequestFingerprint, maxMs: Long) -> Boolean

/** Ends a trial that was granted. */
typealias EndTrial = suspend (fingerprint: RequestFingerprint) -> Unit

/** Guard of one VM; [isKnown] is true once the records of other VMs have been received. Not thread-safe. */
class SuspectGuard(
    private val scope: CoroutineScope,
    private val isKnown: () -> Boolean,
    private val suspects: SuspectRequests,
    private val beginTrial: BeginTrial,
    private val endTrial: EndTrial,
    private val clock: MonotonicClock,
) {
    /** Requests of this VM that run or wait as trials. */
    private class Queue {
        val turn = Mutex()
        var requests = 0
    }

    private val queues = HashMap<RequestFingerprint, Queue>()
    private val startedMs = clock()

    /** Time until an equal request may run; null unless it is refused now. */
    fun refusedForMs(fingerprint: RequestFingerprint): Long? =
        (suspects.verdict(fingerprint) as? Verdict.Refused)?.retryAfterMs

    /**
     * Calls [block] once the request may run, with the trial that it runs as, or null. A trial ends when [block] has
     * returned and it is known whether its target ended.
     *
     * @param deadlineMs monotonic time of the request's deadline
     */
    suspend fun <T> run(
        fingerprint: RequestFingerprint,
        deadlineMs: Long,
        block: suspend (trial: Trial?) -> T,
    ): Guarded<T> {
        while (!isKnown() && clock() < startedMs + MAX_START_MS) delay(START_POLL_INTERVAL_MS)
        if (suspects.verdict(fingerprint) is Verdict.Sound) return Guarded.Ran(block(null))
        val queue = queues.getOrPut(fingerprint) { Queue() }
        queue.requests++
        var trial: Trial? = null
        try {
            val maxWaitMs = (deadlineMs - clock()) / 2
            val verdict =
                withTimeoutOrNull(maxWaitMs) { awaitTurn(queue, fingerprint, deadlineMs) { trial = it } }
            if (verdict == null) {
                log.info { "trial of an equal request takes too long: fingerprint=${fingerprint.value}" }
                return Guarded.Refused(TRIAL_RETRY_AFTER_MS)
            }
            if (verdict is Verdict.Refused) return Guarded.Refused(verdict.retryAfterMs)
            return Guarded.Ran(block(trial))
        } finally {
            trial?.let { scope.launch { settle(queue, fingerprint, it) } }
            if (--queue.requests == 0 && trial == null) queues.remove(fingerprint, queue)
        }
    }

    /** Returns the verdict under which the request may run or not. A trial keeps the turn until it is settled. */
    private suspend fun awaitTurn(
        queue: Queue,
        fingerprint: RequestFingerprint,
        deadlineMs: Long,
        onTrial: (Trial) -> Unit,
    ): Verdict {
        queue.turn.lock()
        var trial: Trial? = null
        try {
            while (true) {
                val verdict = suspects.verdict(fingerprint)
                if (verdict !is Verdict.OnTrial) return verdict
                if (beginTrial(fingerprint, deadlineMs - clock() + TRIAL_MARGIN_MS)) {
                    trial = Trial(verdict.number).also(onTrial)
                    log.info { "trial begins: fingerprint=${fingerprint.value} number=${verdict.number}" }
                    return verdict
                }
                delay(POLL_INTERVAL_MS)
            }
        } finally {
            if (trial == null) queue.turn.unlock()
        }
    }

    private suspend fun settle(
        queue: Queue,
        fingerprint: RequestFingerprint,
        trial: Trial,
    ) {
        trial.run?.awaitCheck()
        endTrial(fingerprint)
        queue.turn.unlock()
        if (queue.requests == 0) queues.remove(fingerprint, queue)
    }

    private companion object {
        /** Time for the check of the target after the run. */
        const val TRIAL_MARGIN_MS = 1_000L
        const val POLL_INTERVAL_MS = 30L

        /** The records arrive together with the declaration, unless the store is down and no peer runs. */
        const val MAX_START_MS = 1_500L
        const val START_POLL_INTERVAL_MS = 5L

        /** Most trials are decided within this time. */
        const val TRIAL_RETRY_AFTER_MS = 500L
    }
}

/** Trial number [number] of a suspect request; [run] is set once it has begun. */
class Trial(
    val number: Int,
) {
    var run: Run? = null
}
