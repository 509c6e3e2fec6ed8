/*
 * Evacuations on one VM: what it knows of them, what it tells its peers, and what the coordinator learns from all VMs.
 */
package io.guavashore.edge.evacuation

import io.guavashore.api.MonotonicClock
import io.guavashore.api.VmId
import io.guavashore.api.ZoneId
import io.guavashore.edge.catalog.Catalog
import io.guavashore.edge.peers.Heartbeat
import io.guavashore.edge.process.SharedCollections.EVACUATIONS
import io.guavashore.metrics.Metrics
import io.guavashore.platform.EntryChange

/** Links of the VM [self] to the others and to the store. */
class EvacuationPeers(
    val self: VmId,
    val alive: () -> List<Heartbeat>,
    val isStoreReachable: () -> Boolean,
)

/**
 * Evacuations as one VM knows them. Not thread-safe.
 *
 * @param zonesInUse zones in which requests of this VM run
 */
class EvacuationTracking(
    private val peers: EvacuationPeers,
    private val catalog: Catalog,
    private val zonesInUse: () -> Set<ZoneId>,
    clock: MonotonicClock,
    metrics: Metrics,
) {
    private val evacuations = ZoneEvacuations(clock, metrics)

    /** True once all evacuations have been received. */
    val isKnown: Boolean get() = catalog.isKnown(EVACUATIONS)

    /** What the coordinator needs if this VM is the coordinator. */
    val view = EvacuationView(evacuations::zones, { catalog.entries(EVACUATIONS) }, ::states)

    fun isEvacuated(zone: ZoneId): Boolean = evacuations.isEvacuated(zone)

    fun apply(changes: List<EntryChange>) = evacuations.apply(changes)

    /** Zones under evacuation in which requests of this VM still run. */
    fun busyZones(): Set<ZoneId> {
        val zones = evacuations.zones
        return if (zones.isEmpty()) emptySet() else zones intersect zonesInUse()
    }

    /** Logs when contact with the store and all peers is lost, until cancelled. */
    suspend fun watchContact() = evacuations.watchContact { peers.isStoreReachable() || peers.alive().isNotEmpty() }

    private fun states(): List<VmEvacuationState> {
        val own = VmEvacuationState(peers.self, catalog.latestRevision(EVACUATIONS), busyZones())
        val others =
            peers.alive().map { VmEvacuationState(it.vmRecord.vm, it.newest[EVACUATIONS] ?: 0, it.busyEvacuatedZones) }
        return others + own
    }
}
