/*
 * Requests that were running on a target when it crashed. One that did so once runs alone; one that did so again on a
 * second target is refused.
 */
package io.guavashore.routing

import io.guavashore.api.OrganisationId
import io.guavashore.api.TargetId
import kotlinx.serialization.Serializable
import java.security.MessageDigest
import java.util.HexFormat

/** Hash of organisation and body; the same request has the same one on every entry. */
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

/** How a request may run. */
enum class Suspicion { NONE, RUN_ALONE, POISON }

/** Targets that crashed under one request. [untilMs] is on the monotonic clock of the list's owner. */
@Serializable
data class SuspectRecord(
    val fingerprint: RequestFingerprint,
    val crashedTargets: Set<TargetId>,
)

/** Suspects known to one entry, its own and those that other entries reported. Not thread-safe. */
class SuspectList(
    private val keepMs: Long = 600_000,
    private val maxRecords: Int = 1_000,
) {
    private class Entry(
        val targets: MutableSet<TargetId> = LinkedHashSet(),
        var keepUntilMs: Long = 0,
    )

    private val entries = LinkedHashMap<RequestFingerprint, Entry>()

    /** Records that [target] crashed while the requests ran on it. */
    fun recordCrash(
        target: TargetId,
        running: Collection<RequestFingerprint>,
        nowMs: Long,
    ) {
        running.forEach { add(it, setOf(target), nowMs) }
    }

    /** Takes over what another entry reported. */
    fun merge(
        records: List<SuspectRecord>,
        nowMs: Long,
    ) {
        records.forEach { add(it.fingerprint, it.crashedTargets, nowMs) }
    }

    /** Clears a suspect that ran to its end. Poison stays. */
    fun recordCompletion(fingerprint: RequestFingerprint) {
        if (entries[fingerprint]?.targets?.size == 1) entries.remove(fingerprint)
    }

    fun suspicion(
        fingerprint: RequestFingerprint,
        nowMs: Long,
    ): Suspicion {
        val entry = entries[fingerprint]?.takeIf { nowMs < it.keepUntilMs } ?: return Suspicion.NONE
        return if (entry.targets.size >= POISON_CRASHES) Suspicion.POISON else Suspicion.RUN_ALONE
    }

    /** What other entries need to know. */
    fun records(nowMs: Long): List<SuspectRecord> {
        entries.values.removeIf { it.keepUntilMs <= nowMs }
        return entries.map { (fingerprint, entry) -> SuspectRecord(fingerprint, entry.targets.toSet()) }
    }

    private fun add(
        fingerprint: RequestFingerprint,
        targets: Set<TargetId>,
        nowMs: Long,
    ) {
        val entry = entries.getOrPut(fingerprint) { Entry() }
        if (entry.targets.addAll(targets)) entry.keepUntilMs = nowMs + keepMs
        if (entries.size > maxRecords) entries.remove(entries.keys.first())
    }

    private companion object {
        const val POISON_CRASHES = 2
    }
}
