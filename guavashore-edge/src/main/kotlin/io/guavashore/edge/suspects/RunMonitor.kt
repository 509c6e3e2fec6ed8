/*
 * Finds out which targets ended while callers' requests ran on them.
 *
 * A connection that breaks, a run without a response and a caller that leaves do not show by themselves that the target
 * has ended: targets also cut connections, queue requests and are slow. The VM therefore opens a connection to the
 * target, and considers whether the target's entry was removed or replaced. A run from which nothing is heard is
 * checked while it goes on, so that other VMs learn of a silent target long before the request's deadline.
 */
package io.guavashore.edge.suspects

import io.github.oshai.kotlinlogging.KotlinLogging
import io.guavashore.api.MonotonicClock
import io.guavashore.api.TargetId
import io.guavashore.edge.declared.TargetEntry
import io.guavashore.edge.targets.ProbeTarget
import io.guavashore.net.HttpConnection
import io.guavashore.routing.RequestFingerprint
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.Job
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

private val log = KotlinLogging.logger {}

/** Run of a caller's request on [target]; [trial] is the number of the trial, null if it is none. */
class Run internal constructor(
    val fingerprint: RequestFingerprint,
    val target: TargetEntry,
    val trial: Int?,
    internal val connection: HttpConnection,
) {
    /** Set once the target has responded so that the request did not end it. */
    var isHarmless = false

    internal var isReported = false

    /** Monotonic time from which the target may be checked while the run is silent. */
    internal var nextCheckMs = 0L
    internal var check: Job? = null

    /** Returns once it is known whether the target ended, as far as that can be told. */
    suspend fun awaitCheck() {
        check?.join()
    }
}

/** Parts of a VM that tell whether a target has ended. */
class TargetEvidence(
    val entryOf: (TargetId) -> TargetEntry?,
    val accepts: ProbeTarget,
    /** True while this VM reaches no target at all. */
    val isCutOff: () -> Boolean,
)

/**
 * Runs in progress on the targets of one VM. Not thread-safe.
 *
 * @param onTargetEnded called once for each run whose target has ended
 */
class RunMonitor(
    private val scope: CoroutineScope,
    private val evidence: TargetEvidence,
    private val clock: MonotonicClock,
    private val onTargetEnded: (Run) -> Unit,
) {
    private class Unresolved(
        val run: Run,
        val untilMs: Long,
    )

    private val running = LinkedHashSet<Run>()

    /** Runs that ended without a response at a target that still accepted connections. */
    private val unresolved = ArrayList<Unresolved>()
    private val probes = HashMap<TargetId, Deferred<Boolean>>()

    /** To be called when the request is sent on [connection]. */
    fun begin(
        fingerprint: RequestFingerprint,
        target: TargetEntry,
        trial: Int?,
        connection: HttpConnection,
    ) = Run(fingerprint, target, trial, connection).also { running += it }

    /** To be called when the run has ended in any way; checks the target unless the run was harmless. */
    fun end(run: Run) {
        running -= run
        if (!run.isHarmless) run.check = scope.launch { check(run) }
    }

    /** Checks runs from which nothing is heard, until cancelled. */
    suspend fun watch() {
        while (true) {
            delay(WATCH_INTERVAL_MS)
            val silent = running.groupBy { it.target.id }.values.filter { runs -> runs.all(::isSilent) }
            silent.forEach { runs ->
                runs.forEach { it.nextCheckMs = clock() + CHECK_INTERVAL_MS }
                scope.launch { if (hasEnded(runs.first().target)) runs.forEach(::report) }
            }
        }
    }

    /** To be called after the directory of targets has changed. */
    fun onTargetsChanged() {
        val now = clock()
        unresolved.removeIf { now > it.untilMs }
        unresolved.filter { isGone(it.run.target) }.forEach { report(it.run) }
        unresolved.removeIf { it.run.isReported }
    }

    private fun isSilent(run: Run) =
        !run.isReported && run.connection.silentForMs >= SILENCE_MS && clock() >= run.nextCheckMs

    private suspend fun check(run: Run) {
        if (run.isReported) return
        if (hasEnded(run.target)) return report(run)
        unresolved += Unresolved(run, clock() + UNRESOLVED_MS)
        if (unresolved.size > MAX_UNRESOLVED) unresolved.removeFirst()
    }

    private suspend fun hasEnded(target: TargetEntry): Boolean =
        isGone(target) || (!accepts(target) && !evidence.isCutOff())

    private fun isGone(target: TargetEntry): Boolean {
        val listed = evidence.entryOf(target.id) ?: return true
        return listed.bornAtMs != target.bornAtMs
    }

    private suspend fun accepts(target: TargetEntry): Boolean {
        val probe =
            probes.getOrPut(target.id) {
                scope.async {
                    try {
                        evidence.accepts(target) || evidence.accepts(target)
                    } finally {
                        probes -= target.id
                    }
                }
            }
        return probe.await()
    }

    private fun report(run: Run) {
        if (run.isReported) return
        run.isReported = true
        log.warn {
            "target ended while a request ran: target=${run.target.id} born_ms=${run.target.bornAtMs} " +
                "fingerprint=${run.fingerprint.value} trial=${run.trial} silent_ms=${run.connection.silentForMs}"
        }
        onTargetEnded(run)
    }

    private companion object {
        const val WATCH_INTERVAL_MS = 250L

        /** A target that has free slots or sends a stream is heard of more often. */
        const val SILENCE_MS = 500L

        /** A new connection to a target is charged. */
        const val CHECK_INTERVAL_MS = 2_000L

        /** The entry of a target that has ended is removed within this time. */
        const val UNRESOLVED_MS = 5_000L
        const val MAX_UNRESOLVED = 1_000
    }
}
