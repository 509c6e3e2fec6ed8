/*
 * Directory of the targets that exist, from their entries in the store and from the metadata of their responses.
 *
 * An entry that lapses while the store is unavailable does not mean that its target has stopped: the target may
 * renew the entry within two seconds after the store is available again, and stays in use until then. If an entry is
 * removed while the store is available, its target is no longer used.
 */
package io.guavashore.edge.targets

import io.github.oshai.kotlinlogging.KotlinLogging
import io.guavashore.api.MonotonicClock
import io.guavashore.api.ServiceId
import io.guavashore.api.TargetId
import io.guavashore.api.ZoneId
import io.guavashore.edge.declared.ModelId
import io.guavashore.edge.declared.Route
import io.guavashore.edge.declared.TargetEntry
import io.guavashore.platform.EntryChange
import io.guavashore.platform.StoredEntry

private val log = KotlinLogging.logger {}

/** Decodes a target's entry; null if the entry describes no usable target. */
typealias DecodeTarget = (StoredEntry) -> TargetEntry?

/** Directory of one VM. Not thread-safe. */
class TargetDirectory(
    private val decode: DecodeTarget,
    private val clock: MonotonicClock,
    private val storeRecentlyUnavailable: () -> Boolean,
    /** Called after each failure of a target to accept a connection or to respond. */
    private val onFailure: (TargetId) -> Unit = {},
    private val isEvacuated: (ZoneId) -> Boolean = { false },
) {
    private val entries = HashMap<TargetId, TargetEntry>()
    private val graceUntilMs = HashMap<TargetId, Long>()
    private val suspectUntilMs = HashMap<TargetId, Long>()
    private val failures = HashMap<TargetId, Int>()

    /** Start times of the processes that announced in a response that they are leaving; null if the entry has none. */
    private val leaving = HashMap<TargetId, Long?>()

    /** Start times of the listed processes of targets that have restarted since. */
    private val outdated = HashMap<TargetId, Long?>()
    private val observedVersions = HashMap<TargetId, MutableMap<ModelId, Long>>()

    /** Applies a change of the directory; returns true if a target was added, updated or removed. */
    fun apply(change: EntryChange): Boolean {
        val id = TargetId(change.entry.name)
        if (change.deleted) return remove(id)
        val entry = decode(change.entry)
        if (entry == null) {
            log.warn { "target entry can't be decoded, target not used: target=$id revision=${change.entry.revision}" }
            return remove(id)
        }
        val known = entries[id]
        if (known?.bornAtMs != entry.bornAtMs) observedVersions.remove(id)
        if (id in leaving && leaving[id] != entry.bornAtMs) leaving.remove(id)
        if (id in outdated && outdated[id] != entry.bornAtMs) outdated.remove(id)
        if (known == null || known.isLeaving != entry.isLeaving || known.software != entry.software) {
            log.info {
                "target listed: target=$id service=${entry.service} at=${entry.endpoint} zone=${entry.zone} " +
                    "leaving=${entry.isLeaving} spot=${entry.isSpot} software=${entry.software} " +
                    "versions=${entry.versions} " +
                    "revision=${change.entry.revision}"
            }
        }
        entries[id] = entry
        graceUntilMs.remove(id)
        return true
    }

    /** Targets of [service] that may be sent requests. */
    fun usable(service: ServiceId): List<TargetEntry> = usable().filter { it.service == service }

    /** Targets that may be sent the requests of [route]. */
    fun usable(route: Route): List<TargetEntry> = route.backends.filter { it.weight > 0 }.flatMap { usable(it.service) }

    /** All targets that may be sent requests. */
    fun usable(): List<TargetEntry> {
        removeExpired()
        return entries.values.filterNot { it.isLeaving || it.id in leaving || isEvacuated(it) }
    }

    /** True if nothing may be sent to [target] at present, since its zone is being evacuated. */
    fun isEvacuated(target: TargetEntry): Boolean = isEvacuated(target.zone)

    /** Zones under evacuation that contain targets of [services]. */
    fun evacuatedZonesOf(services: Set<ServiceId>): Set<ZoneId> =
        entries.values.filter { it.service in services && isEvacuated(it) }.mapTo(HashSet()) { it.zone }

    /** Start time of the process of target [id] according to its entry; null if unknown. */
    fun bornAtMs(id: TargetId): Long? = entries[id]?.bornAtMs

    /**
     * Records that the process of target [id] that started at [bornAtMs] announced that it is leaving. It gets no more
     * requests; a new process under the same id does. Returns false if this was known or concerns an earlier process.
     */
    fun recordLeaving(
        id: TargetId,
        bornAtMs: Long?,
    ): Boolean {
        val listed = entries[id]
        if (id in leaving || (listed != null && listed.bornAtMs != bornAtMs)) return false
        leaving[id] = bornAtMs
        log.info { "target announced that it is leaving: target=$id born_ms=$bornAtMs" }
        return true
    }

    /** Records that the process that [entry] describes has ended, and another one runs under its id. */
    fun recordOutdated(entry: TargetEntry) {
        outdated[entry.id] = entry.bornAtMs
    }

    /** True if another process runs under the id of [entry] than the one that it describes. */
    fun isOutdated(entry: TargetEntry): Boolean = entry.id in outdated && outdated[entry.id] == entry.bornAtMs

    fun all(): Collection<TargetEntry> = entries.values

    operator fun get(id: TargetId): TargetEntry? = entries[id]

    /** True while other targets are preferred because of recent failures of this one. */
    fun isSuspect(id: TargetId): Boolean = clock() < (suspectUntilMs[id] ?: 0)

    fun recordFailure(id: TargetId) {
        val count = failures.merge(id, 1, Int::plus) ?: 1
        val forMs = minOf(MAX_SUSPICION_MS, MIN_SUSPICION_MS shl minOf(count - 1, MAX_DOUBLINGS))
        suspectUntilMs[id] = clock() + forMs
        log.info { "target suspected: target=$id failures=$count for_ms=$forMs" }
        onFailure(id)
    }

    fun recordSuccess(id: TargetId) {
        failures.remove(id)
        suspectUntilMs.remove(id)
    }

    /** Records the version of the weights stated in a response or report of the engine. */
    fun recordVersion(
        id: TargetId,
        model: ModelId,
        version: Long,
    ) {
        observedVersions.getOrPut(id) { HashMap() }[model] = version
    }

    /** Version of the weights on the engine by model: the newer of the version in the entry and the observed one. */
    fun versions(entry: TargetEntry): Map<ModelId, Long> {
        val observed = observedVersions[entry.id] ?: return entry.versions
        return (entry.versions.keys + observed.keys).associateWith { model ->
            maxOf(entry.versions[model] ?: 0, observed[model] ?: 0)
        }
    }

    private fun remove(id: TargetId): Boolean {
        val known = entries[id] ?: return false
        if (storeRecentlyUnavailable() && !known.isLeaving && id !in leaving) {
            graceUntilMs[id] = clock() + GRACE_AFTER_OUTAGE_MS
            return false
        }
        discardTarget(id)
        return true
    }

    private fun removeExpired() {
        val now = clock()
        graceUntilMs.filterValues { it <= now }.keys.forEach { discardTarget(it) }
    }

    private fun discardTarget(id: TargetId) {
        log.info { "target removed: target=$id" }
        entries.remove(id)
        graceUntilMs.remove(id)
        suspectUntilMs.remove(id)
        failures.remove(id)
        leaving.remove(id)
        outdated.remove(id)
        observedVersions.remove(id)
    }

    private companion object {
        /** Live targets renew their entries within about 2 s after the store is available again. */
        const val GRACE_AFTER_OUTAGE_MS = 2_000L
        const val MIN_SUSPICION_MS = 500L
        const val MAX_SUSPICION_MS = 4_000L
        const val MAX_DOUBLINGS = 3
    }
}
