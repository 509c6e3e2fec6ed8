/*
 * Obtains permits for the requests of one VM, from the coordinator or, while there is none, by turns.
 *
 * Requests that arrive while a call to the coordinator is under way share the next one, so that the number of calls
 * does not grow with the number of requests.
 */
package io.guavashore.edge.limits

import io.github.oshai.kotlinlogging.KotlinLogging
import io.guavashore.api.MonotonicClock
import io.guavashore.api.TargetId
import io.guavashore.api.VmId
import io.guavashore.api.WallClock
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

private val log = KotlinLogging.logger {}

/** Asks the coordinator for permits; null if none is known or it does not decide in time. */
typealias AskCoordinator = suspend (List<PermitRequest>) -> List<PermitDecision>?

/** Outcome of asking for a permit. */
sealed interface PermitOutcome {
    data class Obtained(
        val permit: Permit,
    ) : PermitOutcome

    /** No target has room in time; there is room for a repeated request in [retryAfterMs]. */
    data class NoRoom(
        val retryAfterMs: Long,
    ) : PermitOutcome
}

/**
 * The registered VMs, and the wall clock that they agree on.
 *
 * @property mayIssue true while this VM is the coordinator and no other VM can be: another one may issue permits as
 * soon as the lease of this one has expired, unless this one would have heard of it
 * @property holdsLease true while no other VM can be coordinator; required for permits to cold targets
 */
class Fleet(
    val self: VmId,
    val registered: () -> Collection<VmId>,
    val mayIssue: () -> Boolean,
    val holdsLease: () -> Boolean = mayIssue,
    val medianTimeMs: WallClock,
)

/** Permits of one VM. Not thread-safe. */
class RequestPermits(
    private val scope: CoroutineScope,
    private val limits: TargetRateLimits,
    private val askCoordinator: AskCoordinator,
    private val fleet: Fleet,
    private val clock: MonotonicClock,
    private val wallClock: WallClock,
) {
    private class Pending(
        val request: PermitRequest,
        val decision: CompletableDeferred<PermitDecision?> = CompletableDeferred(),
    ) {
        /** Times before the decision, by the monotonic and the wall clock; a permit expires counted from them. */
        var askedMs = 0L
        var askedWallMs = 0L
    }

    private val pending = ArrayList<Pending>()
    private var isAsking = false
    private val turns = RotatingTurns()

    /** True while this VM may issue permits to others. */
    val mayIssue: () -> Boolean get() = fleet.mayIssue

    /** True while this VM may issue permits to cold targets. */
    val holdsLease: () -> Boolean get() = fleet.holdsLease

    /** True if requests to [target] need a permit. */
    fun isLimited(target: TargetId): Boolean = limits.of(target) != null

    /** Permit for a target that limits nothing; it ends if the target turns cold while a connection is opened. */
    fun unlimited(target: TargetId) = Permit(target) { !limits.isStrict(target) }

    /** Obtains a permit for one of [candidates], preferred ones first, that may be used within [maxWaitMs]. */
    suspend fun obtain(
        candidates: List<TargetId>,
        maxWaitMs: Long,
    ): PermitOutcome {
        val limited = candidates.map { TargetRateLimit(it, bornAtMs = null, limits.of(it), limits.isStrict(it)) }
        val asked = Pending(PermitRequest(limited, maxWaitMs))
        val decision = ask(asked) ?: decideAlone(asked)
        if (decision is PermitDecision.Refused) return PermitOutcome.NoRoom(decision.retryAfterMs)
        val granted = decision as PermitDecision.Granted
        val notBeforeMs = clock() + granted.waitMs
        return PermitOutcome.Obtained(
            permit(granted.target, notBeforeMs, asked.askedMs + granted.waitMs, asked.askedWallMs + granted.waitMs),
        )
    }

    /** Suspends until a request may be sent to [target]; null if that takes longer than [maxWaitMs]. */
    suspend fun await(
        target: TargetId,
        maxWaitMs: Long,
    ): Permit? {
        if (!isLimited(target)) return unlimited(target)
        val outcome = obtain(listOf(target), maxWaitMs) as? PermitOutcome.Obtained ?: return null
        delay(outcome.permit.notBeforeMs - clock())
        return outcome.permit
    }

    /** Permits for this VM's own requests that [issuer] has free at the moment, or turns if it may not issue any. */
    fun from(issuer: PermitIssuer) =
        PermitSource(
            available = { if (mayIssue(it)) issuer.available(it) else ownTurns(it) },
            take = { target ->
                val isTaken = if (mayIssue(target)) issuer.take(target) else takeOwnTurn(target, maxWaitMs = 0) != null
                if (isTaken) permit(target, clock(), clock(), wallClock()) else null
            },
            isCold = limits::isStrict,
        )

    private fun mayIssue(target: TargetId) = fleet.mayIssue() && (!limits.isStrict(target) || fleet.holdsLease())

    private fun ownTurns(target: TargetId): Int {
        val requestsPerS = limits.of(target) ?: return Int.MAX_VALUE
        return if (turns.waitMs(target, requestsPerS, place(), turnShare(target)) == 0L) 1 else 0
    }

    /** Takes this VM's next turn at [target] and returns the time until it begins; null if that exceeds [maxWaitMs]. */
    private fun takeOwnTurn(
        target: TargetId,
        maxWaitMs: Long,
    ): Long? {
        val requestsPerS = limits.of(target) ?: return 0
        val waitMs = if (limits.isStrict(target)) minOf(maxWaitMs, StrictLimit.MAX_WAIT_MS) else maxWaitMs
        return turns.take(target, requestsPerS, place(), waitMs, turnShare(target))
    }

    private fun turnShare(target: TargetId) =
        if (limits.isStrict(target)) StrictLimit.TURN_SHARE else RotatingTurns.RATE_SHARE

    private fun place(): RotationPlace {
        val vms = (fleet.registered() + fleet.self).toSortedSet()
        return RotationPlace(rank = vms.headSet(fleet.self).size, vmCount = vms.size, wallMs = fleet.medianTimeMs())
    }

    /**
     * Permit that is valid for a short time from [fromMs] and [fromWallMs]. It expires by either clock: the monotonic
     * one stands still while the VM is suspended.
     */
    private fun permit(
        target: TargetId,
        notBeforeMs: Long,
        fromMs: Long,
        fromWallMs: Long,
    ): Permit {
        if (!isLimited(target)) return unlimited(target)
        val validityMs = if (limits.isStrict(target)) StrictLimit.VALIDITY_MS else VALIDITY_MS
        return Permit(target, notBeforeMs) {
            clock() <= fromMs + validityMs && wallClock() <= fromWallMs + validityMs
        }
    }

    private suspend fun ask(waiting: Pending): PermitDecision? {
        pending += waiting
        if (!isAsking) scope.launch { askWhilePending() }
        return waiting.decision.await()
    }

    private suspend fun askWhilePending() {
        if (isAsking) return
        isAsking = true
        try {
            while (pending.isNotEmpty()) {
                val batch = pending.toList()
                pending.clear()
                batch.forEach(::markAsked)
                var decisions: List<PermitDecision>? = null
                try {
                    decisions = askCoordinator(batch.map { it.request })
                } finally {
                    batch.forEachIndexed { index, waiting -> waiting.decision.complete(decisions?.getOrNull(index)) }
                }
                delay(minOf(MAX_SPACING_MS, batch.size * SPACING_PER_REQUEST_MS))
            }
        } finally {
            isAsking = false
        }
    }

    private fun markAsked(waiting: Pending) {
        waiting.askedMs = clock()
        waiting.askedWallMs = wallClock()
    }

    private fun decideAlone(asked: Pending): PermitDecision {
        markAsked(asked)
        val (candidates, maxWaitMs) = asked.request
        val granted =
            candidates.firstNotNullOfOrNull { candidate ->
                takeOwnTurn(candidate.target, maxWaitMs)?.let { PermitDecision.Granted(candidate.target, it) }
            }
        log.info {
            "no permits from a coordinator, turns used: targets=${candidates.map { it.target }} " +
                "max_wait_ms=$maxWaitMs granted=${granted?.target} wait_ms=${granted?.waitMs}"
        }
        return granted ?: PermitDecision.Refused(NO_COORDINATOR_RETRY_AFTER_MS)
    }

    private companion object {
        /** Time from which a permit may be used until it expires; covers opening a connection. */
        const val VALIDITY_MS = 1_000L

        /** Limits a VM to ten calls a second under load, and does not delay single requests noticeably. */
        const val SPACING_PER_REQUEST_MS = 2L
        const val MAX_SPACING_MS = 100L

        /** A successor of a lost coordinator issues permits within about this time. */
        const val NO_COORDINATOR_RETRY_AFTER_MS = 3_000L
    }
}
