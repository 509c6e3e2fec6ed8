/*
 * Targets that exist now, from the directory in the store and from what their answers show.
 *
 * An entry that lapsed while the store was away says little: its target may be back within two seconds of the
 * store's return. Until then it stays in use. An entry that is removed in quiet times ends the use at once.
 */
package io.guavashore.edge.targets

import io.github.oshai.kotlinlogging.KotlinLogging
import io.guavashore.api.MonotonicClock
import io.guavashore.api.ServiceId
import io.guavashore.api.TargetId
import io.guavashore.edge.declared.ModelId
import io.guavashore.edge.declared.TargetEntry
import io.guavashore.platform.EntryChange
import io.guavashore.platform.StoredEntry

private val log = KotlinLogging.logger {}

/** Reads a target's entry; null if it names no target to use. */
typealias DecodeTarget = (StoredEntry) -> TargetEntry?

/** Directory of one VM. Not thread-safe. */
class TargetDirectory(
    private val decode: DecodeTarget,
    private val clock: MonotonicClock,
    private val storeRecentlyUnavailable: () -> Boolean,
) {
    private val entries = HashMap<TargetId, TargetEntry>()
    private val fadingUntilMs = HashMap<TargetId, Long>()
    private val suspectUntilMs = HashMap<TargetId, Long>()
    private val failures = HashMap<TargetId, Int>()

    /** Start of the process that said in an answer that it leaves; null if its entry names none. */
    private val leaving = HashMap<TargetId, Long?>()
    private val shownVersions = HashMap<TargetId, MutableMap<ModelId, Long>>()

    /** Applies a change of the directory; true if it changed what may be used. */
    fun apply(change: EntryChange): Boolean {
        val id = TargetId(change.entry.name)
        if (change.deleted) return remove(id)
        val entry = decode(change.entry)
        if (entry == null) {
            log.warn { "target entry unusable: target=$id revision=${change.entry.revision}" }
            return remove(id)
        }
        val known = entries[id]
        if (known?.bornAtMs != entry.bornAtMs) shownVersions.remove(id)
        if (id in leaving && leaving[id] != entry.bornAtMs) leaving.remove(id)
        if (known == null || known.isLeaving != entry.isLeaving) {
            log.info {
                "target listed: target=$id service=${entry.service} at=${entry.endpoint} zone=${entry.zone} " +
                    "leaving=${entry.isLeaving} spot=${entry.isSpot} versions=${entry.versions} " +
                    "revision=${change.entry.revision}"
            }
        }
        entries[id] = entry
        fadingUntilMs.remove(id)
        return true
    }

    /** Targets of [service] that may be sent requests. */
    fun usable(service: ServiceId): List<TargetEntry> = usable().filter { it.service == service }

    /** All targets that may be sent requests. */
    fun usable(): List<TargetEntry> {
        dropFaded()
        return entries.values.filterNot { it.isLeaving || it.id in leaving }
    }

    /** Start of the process at [id] as its entry names it. */
    fun bornAtMs(id: TargetId): Long? = entries[id]?.bornAtMs

    /**
     * The process at [id] that started at [bornAtMs] has said that it leaves, and is sent no more requests until
     * another one takes its place. True if that was not known.
     */
    fun saysLeaving(
        id: TargetId,
        bornAtMs: Long?,
    ): Boolean {
        val listed = entries[id]
        if (id in leaving || (listed != null && listed.bornAtMs != bornAtMs)) return false
        leaving[id] = bornAtMs
        log.info { "target leaves by its own word: target=$id born_ms=$bornAtMs" }
        return true
    }

    fun all(): Collection<TargetEntry> = entries.values

    operator fun get(id: TargetId): TargetEntry? = entries[id]

    /** True while recent failures speak against sending more there. */
    fun isSuspect(id: TargetId): Boolean = clock() < (suspectUntilMs[id] ?: 0)

    fun recordFailure(id: TargetId) {
        val count = failures.merge(id, 1, Int::plus) ?: 1
        val forMs = minOf(LONGEST_SUSPICION_MS, FIRST_SUSPICION_MS shl minOf(count - 1, MOST_DOUBLINGS))
        suspectUntilMs[id] = clock() + forMs
        log.info { "target suspected: target=$id failures=$count for_ms=$forMs" }
    }

    fun recordSuccess(id: TargetId) {
        failures.remove(id)
        suspectUntilMs.remove(id)
    }

    /** Takes note of the version that an answer or a report of the engine showed. */
    fun recordVersion(
        id: TargetId,
        model: ModelId,
        version: Long,
    ) {
        shownVersions.getOrPut(id) { HashMap() }[model] = version
    }

    /** Versions that the engine holds: the newer of what its entry says and what it showed. */
    fun versions(entry: TargetEntry): Map<ModelId, Long> {
        val shown = shownVersions[entry.id] ?: return entry.versions
        return (entry.versions.keys + shown.keys).associateWith { model ->
            maxOf(entry.versions[model] ?: 0, shown[model] ?: 0)
        }
    }

    private fun remove(id: TargetId): Boolean {
        val known = entries[id] ?: return false
        if (storeRecentlyUnavailable() && !known.isLeaving && id !in leaving) {
            fadingUntilMs[id] = clock() + GRACE_AFTER_OUTAGE_MS
            return false
        }
        forget(id)
        return true
    }

    private fun dropFaded() {
        val now = clock()
        fadingUntilMs.filterValues { it <= now }.keys.forEach { forget(it) }
    }

    private fun forget(id: TargetId) {
        log.info { "target gone: target=$id" }
        entries.remove(id)
        fadingUntilMs.remove(id)
        suspectUntilMs.remove(id)
        failures.remove(id)
        leaving.remove(id)
        shownVersions.remove(id)
    }

    private companion object {
        /** Entries of live targets are back about 2 s after the store's return. */
        const val GRACE_AFTER_OUTAGE_MS = 2_000L
        const val FIRST_SUSPICION_MS = 500L
        const val LONGEST_SUSPICION_MS = 4_000L
        const val MOST_DOUBLINGS = 3
    }
}
