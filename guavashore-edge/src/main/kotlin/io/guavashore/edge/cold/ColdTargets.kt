/*
 * Targets that are cold: they have just started, or say so, and end if they get many requests at once.
 *
 * Load pattern: an availability zone loses power and its engines come back together, while a step waits for more
 * slots than are left. A target states in its entry for how long it stays cold. A target that has failed and responds
 * again may have started anew before its entry says so; it counts as cold until the entry has been renewed.
 */
package io.guavashore.edge.cold

import io.github.oshai.kotlinlogging.KotlinLogging
import io.guavashore.api.MonotonicClock
import io.guavashore.api.ServiceId
import io.guavashore.api.TargetId
import io.guavashore.edge.declared.ServiceSpec
import io.guavashore.edge.declared.TargetEntry

private val log = KotlinLogging.logger {}

/**
 * Knowledge of one VM. Not thread-safe.
 *
 * @param entryOf entry of a listed target; null if it is not listed
 * @param specOf declared service; null if it is not declared
 */
class ColdTargets(
    private val clock: MonotonicClock,
    private val entryOf: (TargetId) -> TargetEntry?,
    private val specOf: (ServiceId) -> ServiceSpec?,
) {
    private class State(
        val bornAtMs: Long?,
    ) {
        var coldUntilMs = Long.MIN_VALUE

        /** Time at which the target was last taken for cold without having said so. */
        var presumedAtMs = Long.MIN_VALUE / 2
        var lastResponseMs = Long.MIN_VALUE / 2

        /** Time of the first failure since the last response; null if there was none. */
        var unreachedSinceMs: Long? = null
    }

    private val states = HashMap<TargetId, State>()

    /** Number of targets that count as cold. */
    val count: Int get() = states.keys.count { startsPerS(it) != null }

    /** Requests per second that [target] bears, from all VMs together; null unless it is or may be cold. */
    fun startsPerS(target: TargetId): Double? {
        val state = states[target] ?: return null
        val isCold = state.unreachedSinceMs != null || clock() < state.coldUntilMs
        return if (isCold) specOf(target)?.coldStartsPerS else null
    }

    /** Takes in a new or renewed entry. */
    fun onEntry(entry: TargetEntry) {
        val known = states[entry.id]
        val isNewProcess = known != null && known.bornAtMs != entry.bornAtMs
        val state = if (known == null || isNewProcess) State(entry.bornAtMs) else known
        states[entry.id] = state
        val statedMs = entry.coldForMs
        when {
            statedMs == null -> if (isNewProcess) presume(entry.id, state, coldMs(entry.id), "new process")
            statedMs > 0 -> setCold(entry.id, state, minOf(statedMs, MAX_STATED_MS), "entry")
            clock() - state.presumedAtMs >= RENEWAL_MS -> endCold(entry.id, state)
        }
    }

    /** Records that [target] accepted no connection or did not respond as expected: it may be starting anew. */
    fun onFailure(target: TargetId) {
        if (specOf(target)?.coldStartsPerS == null) return
        val state = states[target] ?: return
        if (state.unreachedSinceMs != null) return
        state.unreachedSinceMs = clock()
        log.info { "target may start anew, counts as cold: target=$target born_ms=${state.bornAtMs}" }
    }

    /** Records a response of [target]. Returns news for the other VMs if there had been none for some time. */
    fun onResponse(target: TargetId): ColdNews? {
        val state = states[target] ?: return null
        val now = clock()
        state.lastResponseMs = now
        val sinceMs = state.unreachedSinceMs ?: return null
        state.unreachedSinceMs = null
        val coldMs = coldMs(target)
        presume(target, state, coldMs, "return after ${now - sinceMs} ms")
        if (now - sinceMs < MIN_UNREACHED_MS || coldMs == 0L) return null
        return ColdNews(target, state.bornAtMs, coldMs, unreachedForMs = now - sinceMs)
    }

    /** Takes in what a peer has learned; returns true if the target counts as cold because of it. */
    fun onNews(news: ColdNews): Boolean {
        val state = states[news.target]?.takeIf { it.bornAtMs == news.bornAtMs } ?: return false
        if (clock() - state.lastResponseMs < news.unreachedForMs) {
            log.info { "target responded to this VM meanwhile, not cold: target=${news.target} news=$news" }
            return false
        }
        presume(news.target, state, minOf(news.coldForMs, coldMs(news.target)), "peer")
        return true
    }

    /** Forgets all targets that are not in [listed]. */
    fun retain(listed: Set<TargetId>) {
        states.keys.retainAll(listed)
    }

    private fun presume(
        target: TargetId,
        state: State,
        coldForMs: Long,
        source: String,
    ) {
        state.presumedAtMs = clock()
        if (clock() + coldForMs > state.coldUntilMs) setCold(target, state, coldForMs, source)
    }

    private fun setCold(
        target: TargetId,
        state: State,
        coldForMs: Long,
        source: String,
    ) {
        val wasCold = clock() < state.coldUntilMs
        state.coldUntilMs = clock() + coldForMs
        if (wasCold || coldForMs == 0L) return
        val perS = specOf(target)?.coldStartsPerS ?: return
        log.info {
            "target is cold: target=$target for_ms=$coldForMs per_s=$perS source=$source born_ms=${state.bornAtMs}"
        }
    }

    private fun endCold(
        target: TargetId,
        state: State,
    ) {
        if (clock() >= state.coldUntilMs) return
        log.info { "target no longer cold: target=$target source=entry left_ms=${state.coldUntilMs - clock()}" }
        state.coldUntilMs = clock()
    }

    private fun coldMs(target: TargetId) = specOf(target)?.takeIf { it.coldStartsPerS != null }?.coldMs ?: 0

    private fun specOf(target: TargetId): ServiceSpec? = entryOf(target)?.let { specOf(it.service) }

    private companion object {
        /** An entry that was written before a return may arrive for this time after it. */
        const val RENEWAL_MS = 500L

        /** A process takes longer to start; shorter failures concern this VM only. */
        const val MIN_UNREACHED_MS = 300L

        /** Bound on what an entry states. */
        const val MAX_STATED_MS = 60_000L
    }
}
