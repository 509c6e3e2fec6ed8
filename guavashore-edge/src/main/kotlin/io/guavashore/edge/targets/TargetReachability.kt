/*
 * Detects that this VM has lost its links to all targets, while callers, the store and other VMs still reach it.
 *
 * A failed connection alone says little, since targets crash. After one, the VM opens connections to a few other
 * targets in different availability zones, and if none opens, to a few more; if none of these opens either, it is cut
 * off. It then repeats the probe until a connection opens.
 */
package io.guavashore.edge.targets

import io.github.oshai.kotlinlogging.KotlinLogging
import io.guavashore.api.MonotonicClock
import io.guavashore.edge.declared.TargetEntry
import io.guavashore.net.Dial
import io.guavashore.net.ExchangeFailure
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch

private val log = KotlinLogging.logger {}

/** Returns true if a connection to the target opens. */
typealias ProbeTarget = suspend (TargetEntry) -> Boolean

/** Reachability of all targets together from one VM. Not thread-safe. */
class TargetReachability(
    private val scope: CoroutineScope,
    private val usable: () -> List<TargetEntry>,
    private val probe: ProbeTarget,
    private val clock: MonotonicClock,
) {
    private var verification: Deferred<Unit>? = null
    private var verifiedAtMs: Long? = null
    private var cutOffSinceMs: Long? = null

    /** True while no target can be reached. */
    val isCutOff: Boolean get() = cutOffSinceMs != null

    /** Time since which no target could be reached; 0 if targets are reachable. */
    fun cutOffForMs(): Long = cutOffSinceMs?.let { clock() - it } ?: 0

    /** Called after a target could not be reached or did not respond. Returns once [isCutOff] is up to date. */
    suspend fun verify() {
        val verifiedMs = verifiedAtMs
        if (isCutOff || (verifiedMs != null && clock() - verifiedMs < MIN_INTERVAL_MS)) return
        val current = verification ?: scope.async { verifyNow() }.also { verification = it }
        current.await()
    }

    private suspend fun verifyNow() {
        try {
            val targets = mixedByZone()
            if (targets.size < MIN_TARGETS) return
            val samples = targets.take(SAMPLE_SIZE * SAMPLES).chunked(SAMPLE_SIZE)
            if (samples.any { reachesAny(it) }) return
            cutOffSinceMs = clock()
            log.warn { "cut off from all targets: probed=${samples.flatten().map { it.id }}" }
            scope.launch { awaitReturn() }
        } finally {
            verifiedAtMs = clock()
            verification = null
        }
    }

    private suspend fun awaitReturn() {
        do {
            delay(RETRY_INTERVAL_MS)
        } while (!reachesAny(mixedByZone().take(SAMPLE_SIZE)))
        log.info { "targets reachable again: after_ms=${cutOffForMs()}" }
        cutOffSinceMs = null
    }

    /** Returns as soon as a connection opens. */
    private suspend fun reachesAny(targets: List<TargetEntry>): Boolean =
        coroutineScope {
            val reached = CompletableDeferred<Boolean>()
            val probes = targets.map { target -> launch { if (probe(target)) reached.complete(true) } }
            launch {
                probes.joinAll()
                reached.complete(false)
            }
            reached.await().also { coroutineContext.cancelChildren() }
        }

    /** All usable targets in random order, so that the first ones are in as many availability zones as possible. */
    private fun mixedByZone(): List<TargetEntry> =
        usable()
            .shuffled()
            .groupBy { it.zone }
            .values
            .shuffled()
            .flatMap { ofZone -> ofZone.withIndex() }
            .sortedBy { it.index }
            .map { it.value }

    private companion object {
        const val SAMPLE_SIZE = 3
        const val SAMPLES = 2

        /** With fewer targets, a crash can't be told from a cut. */
        const val MIN_TARGETS = 2

        /** Limits the probes while single targets fail. */
        const val MIN_INTERVAL_MS = 250L
        const val RETRY_INTERVAL_MS = 400L
    }
}

/** Probe that opens a connection and closes it. */
internal fun probeBy(dial: Dial): ProbeTarget =
    { target ->
        try {
            dial(target.endpoint, PROBE_TIMEOUT_MS).close()
            true
        } catch (e: ExchangeFailure.NotConnected) {
            log.info { "target not reached by probe: target=${target.id} cause=${e.message}" }
            false
        }
    }

/** A connection between availability zones opens within a few milliseconds. */
private const val PROBE_TIMEOUT_MS = 150L
