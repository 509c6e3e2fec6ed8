/*
 * Tells operators that a zone is empty, by the status of its evacuation's entry; runs on the coordinator.
 *
 * A zone is empty once every VM that is alive knows of the evacuation, after which it begins nothing there, and none
 * has a request running there. The status is written only while the entry has the revision for which this was decided.
 * So a coordinator whose copy of the entry is older than the status written by its predecessor writes nothing, and a
 * zone that was taken back and evacuated again meanwhile is not reported on the strength of the earlier evacuation.
 */
package io.guavashore.edge.evacuation

import io.github.oshai.kotlinlogging.KotlinLogging
import io.guavashore.api.MonotonicClock
import io.guavashore.api.VmId
import io.guavashore.api.ZoneId
import io.guavashore.edge.duties.LeaseGrant
import io.guavashore.edge.process.SharedCollections
import io.guavashore.platform.CallStore
import io.guavashore.platform.StoreCall
import io.guavashore.platform.StoredEntry
import kotlinx.coroutines.delay

private val log = KotlinLogging.logger {}

/**
 * State of one VM, as it last stated it.
 *
 * @property knownRevision revision of the newest change of evacuations that the VM knows; 0 if it knows none
 * @property busyZones zones under evacuation in which requests of the VM still run
 */
data class VmEvacuationState(
    val vm: VmId,
    val knownRevision: Long,
    val busyZones: Set<ZoneId>,
)

/**
 * What the coordinator knows of evacuations.
 *
 * @property zones zones under evacuation
 * @property entries entries of the evacuations in force
 * @property vms states of all VMs that are alive, including this one
 */
class EvacuationView(
    val zones: () -> Set<ZoneId>,
    val entries: () -> List<StoredEntry>,
    val vms: () -> List<VmEvacuationState>,
)

/** VMs that may still send to the zone of the evacuation [entry], or have a request running there. */
fun vmsNotDone(
    entry: StoredEntry,
    vms: List<VmEvacuationState>,
): List<VmId> = vms.filter { it.knownRevision < entry.revision || ZoneId(entry.name) in it.busyZones }.map { it.vm }

/** Writes the status of evacuations during one term of a coordinator. Not thread-safe. */
class EvacuationReporter(
    private val view: EvacuationView,
    private val call: CallStore,
    private val emptiedStatus: String,
    private val leaseGrant: () -> LeaseGrant?,
    private val clock: MonotonicClock,
) {
    private val nextWriteMs = HashMap<String, Long>()
    private val firstSeenMs = HashMap<String, Long>()

    /** Reports empty zones until cancelled. */
    suspend fun run() {
        while (true) {
            step()
            delay(POLL_INTERVAL_MS)
        }
    }

    internal suspend fun step() {
        val pending = view.entries().filter { it.status != emptiedStatus }
        val names = pending.mapTo(HashSet()) { it.name }
        firstSeenMs.keys.retainAll(names)
        nextWriteMs.keys.retainAll(names)
        pending.forEach { entry ->
            val sinceMs = firstSeenMs.getOrPut(entry.name) { clock() }
            if (clock() < (nextWriteMs[entry.name] ?: 0) || vmsNotDone(entry, view.vms()).isNotEmpty()) return@forEach
            if (leaseGrant() == null) return@forEach
            nextWriteMs[entry.name] = clock() + RETRY_DELAY_MS
            report(entry, sinceMs)
        }
    }

    private suspend fun report(
        entry: StoredEntry,
        sinceMs: Long,
    ) {
        val write =
            StoreCall.ReplaceStatus(SharedCollections.EVACUATIONS, entry.name, emptiedStatus, entry.revision)
        val outcome = call(write, STORE_TIMEOUT_MS)
        log.info {
            "zone reported as empty: zone=${entry.name} revision=${entry.revision} written=${outcome.isOk} " +
                "fault=${if (outcome.isErr) outcome.error.message else "-"} vms=${view.vms().size} " +
                "waited_ms=${clock() - sinceMs}"
        }
    }

    private companion object {
        const val POLL_INTERVAL_MS = 250L
        const val STORE_TIMEOUT_MS = 1_000L

        /** After a failed write, and until the written status has arrived in the copy of the entries. */
        const val RETRY_DELAY_MS = 2_000L
    }
}
