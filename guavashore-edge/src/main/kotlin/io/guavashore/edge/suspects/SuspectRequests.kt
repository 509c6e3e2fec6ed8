/*
 * Requests under which targets ended, as known to one VM. No I/O.
 *
 * Load pattern: a request that ends every target that runs it is repeated at all VMs and takes a service down, target
 * by target. Targets also end for reasons of their own, all at once, while many equal and sound requests run on them.
 *
 * Both look alike until the request runs again. After a target has ended under a request, equal requests run one at a
 * time over all VMs, as trials. A run that comes to its end shows that the request is sound. After [TRIALS] trials have
 * ended their targets, equal requests are refused, and another trial is made after each of the pauses in [PAUSES_MS].
 */
package io.guavashore.edge.suspects

import io.guavashore.api.WallClock
import io.guavashore.routing.RequestFingerprint

/** Whether a request may run. */
sealed interface Verdict {
    /** Any number of equal requests may run. */
    data object Sound : Verdict

    /** One request may run as trial number [number]. */
    data class OnTrial(
        val number: Int,
    ) : Verdict

    /** The request is refused for [retryAfterMs]. */
    data class Refused(
        val retryAfterMs: Long,
    ) : Verdict
}

/** Suspect requests known to one VM; [medianTimeMs] is the wall time that the VMs agree on. Not thread-safe. */
class SuspectRequests(
    private val medianTimeMs: WallClock,
) {
    private val records = LinkedHashMap<RequestFingerprint, SuspectRecord>()

    operator fun get(fingerprint: RequestFingerprint): SuspectRecord =
        records[fingerprint]?.takeIf { medianTimeMs() < it.keepUntilMs } ?: SuspectRecord(fingerprint)

    fun verdict(fingerprint: RequestFingerprint): Verdict {
        val record = get(fingerprint)
        val blockedForMs = record.blockedUntilMs - medianTimeMs()
        return when {
            !record.isSuspect -> Verdict.Sound
            blockedForMs > 0 -> Verdict.Refused(blockedForMs)
            else -> Verdict.OnTrial(record.failedTrials + 1)
        }
    }

    /** Records that [target] ended while the request ran there as trial [trial]; null if it was none. */
    fun recordEnd(
        fingerprint: RequestFingerprint,
        target: String,
        trial: Int?,
    ): Boolean {
        val known = get(fingerprint)
        val failedTrials = maxOf(known.failedTrials, trial ?: 0)
        val pauseMs = if (failedTrials > known.failedTrials) pauseAfter(failedTrials) else 0
        return merge(
            known.copy(
                endedTargets = known.endedTargets + target,
                failedTrials = failedTrials,
                blockedUntilMs = if (pauseMs > 0) medianTimeMs() + pauseMs else known.blockedUntilMs,
                changedAtMs = medianTimeMs(),
            ),
        )
    }

    /** Records that a run came to its end; returns true if the request was suspect. */
    fun recordCompletion(fingerprint: RequestFingerprint): Boolean {
        val known = get(fingerprint)
        if (!known.isSuspect) return false
        return merge(
            SuspectRecord(fingerprint, completions = known.completions + 1, changedAtMs = medianTimeMs()),
        )
    }

    /** Merges [record]; returns true if it changed what is known. */
    fun merge(record: SuspectRecord): Boolean {
        val known = records[record.fingerprint]
        val merged = known?.merge(record) ?: record
        if (merged == known || medianTimeMs() >= merged.keepUntilMs) return false
        records.remove(record.fingerprint)
        records[record.fingerprint] = merged
        while (records.size > MAX_RECORDS) records.remove(records.keys.first())
        return true
    }

    /** All records that are kept, those changed last first; expired ones are removed. */
    fun all(): List<SuspectRecord> {
        if (records.isEmpty()) return emptyList()
        val now = medianTimeMs()
        records.values.removeIf { now >= it.keepUntilMs }
        return records.values.reversed()
    }

    internal companion object {
        /** Trials after which a request is refused. */
        const val TRIALS = 2

        /** Time for which a request is refused after [TRIALS] failed trials and after each further one. */
        val PAUSES_MS = listOf(2_000L, 10_000L, 600_000L)

        private const val MAX_RECORDS = 1_000

        private fun pauseAfter(failedTrials: Int): Long =
            if (failedTrials < TRIALS) 0 else PAUSES_MS[minOf(failedTrials - TRIALS, PAUSES_MS.lastIndex)]
    }
}
