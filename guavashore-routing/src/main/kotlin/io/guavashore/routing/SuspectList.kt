/*
 * Requests that were running on a target when it crashed. After the first crash, such a request runs alone on a target;
 * after a crash of a second target, it is refused.
 */
package io.guavashore.routing

import io.guavashore.api.OrganisationId
import io.guavashore.api.TargetId
import kotlinx.serialization.Serializable
import java.security.MessageDigest
import java.util.HexFormat

/** Hash of organisation and body; a request has the same fingerprint on every entry node. */
@JvmInline
@Serializable
value class RequestFingerprint(
    val value: String,
) {
    companion object {
        private const val LENGTH = 32

        fun of(
            organisation: OrganisationId,
            body: ByteArray,
        ): RequestFingerprint {
            val digest = MessageDigest.getInstance("SHA-256")
            digest.update(organisation.value.toByteArray())
            digest.update(0)
            return RequestFingerprint(HexFormat.of().formatHex(digest.digest(body)).take(LENGTH))
        }
    }
}

/** Restriction on running a request. [RUN_ALONE]: only on a target without other requests. [POISON]: not at all. */
enum class Suspicion { NONE, RUN_ALONE, POISON }

/** Targets that crashed while the request with this fingerprint ran on them. */
@Serializable
data class SuspectRecord(
    val fingerprint: RequestFingerprint,
    val crashedTargets: Set<TargetId>,
)

/**
 * Suspect requests known to one entry node: its own and those reported by other nodes. Not thread-safe.
 *
 * @param keepMs time for which a suspect is kept after it has crashed a further target
 * @param maxRecords maximum number of suspects; beyond it, the oldest one is dropped
 */
class SuspectList(
    private val keepMs: Long = 600_000,
    private val maxRecords: Int = 1_000,
) {
    private class CrashHistory(
        val targets: MutableSet<TargetId> = LinkedHashSet(),
        var keepUntilMs: Long = 0,
    )

    private val suspects = LinkedHashMap<RequestFingerprint, CrashHistory>()

    /** Records that [target] crashed while the requests in [running] ran on it. */
    fun recordCrash(
        target: TargetId,
        running: Collection<RequestFingerprint>,
        nowMs: Long,
    ) {
        running.forEach { add(it, setOf(target), nowMs) }
    }

    /** Merges the records of another entry node. */
    fun merge(
        records: List<SuspectRecord>,
        nowMs: Long,
    ) {
        records.forEach { add(it.fingerprint, it.crashedTargets, nowMs) }
    }

    /** Clears a suspect that ran to completion. A poison request is not cleared. */
    fun recordCompletion(fingerprint: RequestFingerprint) {
        if (suspects[fingerprint]?.targets?.size == 1) suspects.remove(fingerprint)
    }

    fun suspicion(
        fingerprint: RequestFingerprint,
        nowMs: Long,
    ): Suspicion {
        val history = suspects[fingerprint]?.takeIf { nowMs < it.keepUntilMs } ?: return Suspicion.NONE
        return if (history.targets.size >= POISON_CRASHES) Suspicion.POISON else Suspicion.RUN_ALONE
    }

    /** Number of targets that crashed while the request ran on them. */
    fun crashes(
        fingerprint: RequestFingerprint,
        nowMs: Long,
    ): Int = suspects[fingerprint]?.takeIf { nowMs < it.keepUntilMs }?.targets?.size ?: 0

    /** Records to report to other entry nodes; expired ones are removed first. */
    fun records(nowMs: Long): List<SuspectRecord> {
        suspects.values.removeIf { it.keepUntilMs <= nowMs }
        return suspects.map { (fingerprint, history) -> SuspectRecord(fingerprint, history.targets.toSet()) }
    }

    private fun add(
        fingerprint: RequestFingerprint,
        targets: Set<TargetId>,
        nowMs: Long,
    ) {
        val history = suspects.getOrPut(fingerprint) { CrashHistory() }
        if (history.targets.addAll(targets)) history.keepUntilMs = nowMs + keepMs
        if (suspects.size > maxRecords) suspects.remove(suspects.keys.first())
    }

    private companion object {
        const val POISON_CRASHES = 2
    }
}
