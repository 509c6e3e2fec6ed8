/*
 * Chooses the target of the next attempt of a call, and obtains a permit if the target limits its requests.
 *
 * Load pattern: some targets of a service limit their requests to a fraction of what arrives. A target without a limit
 * takes what it has slots for. Beyond that, the limited ones take what their limits allow, and a call that finds no
 * room waits for the next permit if that comes in time. Any other call is refused at once, with the time of the next
 * permit. A target is also limited while it is cold.
 */
package io.guavashore.edge.forward

import io.github.oshai.kotlinlogging.KotlinLogging
import io.guavashore.api.MonotonicClock
import io.guavashore.api.ZoneId
import io.guavashore.edge.declared.RouteKind
import io.guavashore.edge.declared.TargetEntry
import io.guavashore.edge.limits.Permit
import io.guavashore.edge.limits.PermitOutcome
import io.guavashore.edge.limits.RequestPermits
import io.guavashore.edge.streams.AdmittedVersions
import io.guavashore.edge.streams.StreamOriginLookup
import io.guavashore.edge.targets.TargetDirectory
import kotlinx.coroutines.delay

private val log = KotlinLogging.logger {}

/** Target of an attempt, or the reason why there is none. */
sealed interface TargetChoice {
    data class Chosen(
        val target: TargetEntry,
        val permit: Permit,
    ) : TargetChoice

    /** All targets limit their requests; a new request finds room in [retryAfterMs]. */
    data class RateLimited(
        val retryAfterMs: Long,
    ) : TargetChoice

    /** The call resumes a stream, and it is not known where that stream began. */
    data object UnknownOrigin : TargetChoice

    /** No target of the route that the call has not tried is listed. */
    data object NoTarget : TargetChoice
}

/** Chooses targets for the calls of one VM. Not thread-safe. */
class TargetChooser(
    private val zone: ZoneId,
    private val directory: TargetDirectory,
    private val loads: TargetLoads,
    private val permits: RequestPermits,
    private val streamOrigins: StreamOriginLookup,
    private val admittedVersions: AdmittedVersions,
    private val clock: MonotonicClock,
    private val observeLoadAgeMs: (Long) -> Unit = {},
) {
    /** Chooses a target that [call] has not tried. Suspends until the permit for it may be used. */
    suspend fun choose(call: ForwardedCall): TargetChoice {
        if (call.stream.origin == null && (call.resumesStream || call.resumption() != null)) {
            val services = call.route.backends.map { it.service }
            call.stream.origin = streamOrigins.find(call.streamId, services) ?: return TargetChoice.UnknownOrigin
        }
        val candidates = candidates(call)
        val (limited, free) = candidates.partition { permits.isLimited(it.id) }
        val best = loads.pick(free, zone, clock())
        if (best != null && (limited.isEmpty() || !loads.isFull(best, clock()))) {
            logChoice(call, best, free)
            return chosen(best)
        }
        if (limited.isEmpty()) return TargetChoice.NoTarget
        // A full target without a limit queues the call, which takes less time than waiting for a permit.
        val maxWaitMs = if (best == null) maxWaitMs(call) else 0
        val outcome = permits.obtain(loads.byLoad(limited, zone, clock()).map { it.id }, maxWaitMs)
        if (outcome is PermitOutcome.NoRoom) {
            if (best != null) return chosen(best)
            log.info {
                "no room within the limits of targets: request=${call.metadata.requestId} " +
                    "targets=${limited.map { it.id }} max_wait_ms=$maxWaitMs retry_after_ms=${outcome.retryAfterMs}"
            }
            return TargetChoice.RateLimited(outcome.retryAfterMs)
        }
        return awaitPermit(call, (outcome as PermitOutcome.Obtained).permit)
    }

    private fun logChoice(
        call: ForwardedCall,
        chosen: TargetEntry,
        candidates: List<TargetEntry>,
    ) {
        if (!loads.stateSpeed(candidates)) return
        val expected = loads.expected(candidates, clock())
        expected.firstOrNull { it.target.id == chosen.id }?.ageMs?.let(observeLoadAgeMs)
        log.info {
            "target chosen by load: request=${call.metadata.requestId} target=${chosen.id} " +
                "candidates=${expected.take(MAX_LOGGED_CANDIDATES)} of=${expected.size}"
        }
    }

    private fun chosen(target: TargetEntry) = TargetChoice.Chosen(target, permits.unlimited(target.id))

    private suspend fun awaitPermit(
        call: ForwardedCall,
        permit: Permit,
    ): TargetChoice {
        val waitMs = permit.notBeforeMs - clock()
        log.info { "permit obtained: request=${call.metadata.requestId} target=${permit.target} wait_ms=$waitMs" }
        if (waitMs > 0) delay(waitMs)
        val target = directory.usable().firstOrNull { it.id == permit.target } ?: return choose(call)
        return TargetChoice.Chosen(target, permit)
    }

    private suspend fun candidates(call: ForwardedCall): List<TargetEntry> {
        val untried =
            directory
                .usable(call.route)
                .filter { it.id !in call.tried }
                .let { if (call.route.kind == RouteKind.STREAMING) streamTargets(call, it) else it }
        val service = loads.serviceFor(call.route, untried) ?: return emptyList()
        val ofService = untried.filter { it.service == service }
        return ofService.filterNot { directory.isSuspect(it.id) }.ifEmpty { ofService }
    }

    /** Those of [targets] at which the stream of [call] may begin or go on. */
    private suspend fun streamTargets(
        call: ForwardedCall,
        targets: List<TargetEntry>,
    ): List<TargetEntry> {
        val current = targets.filterNot(directory::isOutdated)
        val origin = call.stream.origin ?: return admittedVersions.admit(current)
        return current.filter(origin::includes)
    }

    /** Time for which [call] may wait so that its target still has time to respond. */
    private fun maxWaitMs(call: ForwardedCall): Long {
        val leftMs = call.deadlineMs - clock()
        return maxOf(0, leftMs - maxOf(MIN_SERVICE_MS, minOf(call.route.objectiveMs, leftMs / 2)))
    }

    private companion object {
        /** Time reserved for the response of the target. */
        const val MIN_SERVICE_MS = 50L
        const val MAX_LOGGED_CANDIDATES = 6
    }
}
