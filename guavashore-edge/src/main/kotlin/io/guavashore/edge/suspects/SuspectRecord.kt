/*
 * What the VMs tell each other about a request that ran on targets as they ended.
 */
package io.guavashore.edge.suspects

import io.guavashore.routing.RequestFingerprint
import kotlinx.serialization.Serializable

/**
 * State of a suspect request.
 *
 * Records of one request are merged in any order: the one with more completions replaces the other, and otherwise the
 * larger values hold.
 *
 * @property completions number of times that a run came to its end after targets had ended; each clears the request
 * @property endedTargets targets that ended while the request ran on them, since the last completion
 * @property failedTrials trials that ended their target, since the last completion
 * @property blockedUntilMs median time until which the request is refused, in Unix milliseconds
 * @property changedAtMs median time of the last change, in Unix milliseconds
 */
@Serializable
data class SuspectRecord(
    val fingerprint: RequestFingerprint,
    val completions: Long = 0,
    val endedTargets: Set<String> = emptySet(),
    val failedTrials: Int = 0,
    val blockedUntilMs: Long = 0,
    val changedAtMs: Long = 0,
) {
    val isSuspect: Boolean get() = endedTargets.isNotEmpty()

    /** Median time until which the record is kept, in Unix milliseconds. */
    val keepUntilMs: Long get() = maxOf(changedAtMs, blockedUntilMs) + RETENTION_MS

    fun merge(other: SuspectRecord): SuspectRecord {
        if (completions != other.completions) return if (completions > other.completions) this else other
        return copy(
            endedTargets = (endedTargets + other.endedTargets).take(MAX_ENDED_TARGETS).toSet(),
            failedTrials = maxOf(failedTrials, other.failedTrials),
            blockedUntilMs = maxOf(blockedUntilMs, other.blockedUntilMs),
            changedAtMs = maxOf(changedAtMs, other.changedAtMs),
        )
    }
}

/** Callers repeat a request within seconds. */
private const val RETENTION_MS = 60_000L
private const val MAX_ENDED_TARGETS = 12
