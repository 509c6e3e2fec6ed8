/*
 * Runs the tasks of the zone leader and of the coordinator while this steward holds the respective lease.
 */
package io.guavashore.steward

import io.github.oshai.kotlinlogging.KotlinLogging
import io.guavashore.api.MonotonicClock
import io.guavashore.api.VmId
import io.guavashore.api.WallClock
import io.guavashore.api.ZoneId
import io.guavashore.leases.HeldLease
import io.guavashore.leases.LeaseManager
import io.guavashore.metrics.Metrics
import io.guavashore.platform.Platform
import io.guavashore.usage.MergedUsage
import io.guavashore.usage.UsageReporter
import io.guavashore.usage.ZoneUsageWriter
import io.guavashore.wire.ControlMessage
import io.guavashore.wire.FactKeys
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.delay

private val log = KotlinLogging.logger {}

/** Leader tasks of one steward. [liveMembers] returns the members of all zones, whose entries must confirm a drain. */
internal class LeaderTasks(
    private val zone: ZoneId,
    private val state: StewardState,
    private val platform: Platform,
    private val mergedUsage: MergedUsage,
    private val metrics: Metrics,
    private val clock: MonotonicClock,
    private val wallClock: WallClock,
    private val liveMembers: () -> Set<VmId>,
) {
    @Volatile
    private var zoneController: ZoneController? = null

    @Volatile
    private var coordinator: Coordinator? = null

    val isZoneLeader: Boolean get() = zoneController != null
    val isCoordinator: Boolean get() = coordinator != null

    /** Merges the usage in [request] and returns shares of the resources that this steward allocates as a leader. */
    fun handleShareRequest(request: ControlMessage.ShareRequest): ControlMessage.ShareReply {
        mergedUsage.merge(request.usage)
        return ControlMessage.ShareReply(
            zoneController?.sharesFor(request).orEmpty() + coordinator?.sharesFor(request).orEmpty(),
        )
    }

    /**
     * Runs the zone's tasks under [lease], until cancelled. Allocation of slots continues after the lease has expired,
     * because during a store outage no other steward can acquire it; it ends when a higher fencing number is received.
     */
    suspend fun runZone(
        lease: LeaseManager,
        engines: EngineControl,
    ) {
        val usageWriter = ZoneUsageWriter(zone, mergedUsage, platform.store, wallClock)
        val context = ZoneContext(state::declarations, state::listedEntries, liveMembers)
        var currentLease: HeldLease? = null
        var usageWrittenAtMs = clock()
        while (true) {
            val heldLease = lease.held()
            if (heldLease != null && heldLease.fencingNumber != currentLease?.fencingNumber) {
                zoneController =
                    ZoneController(zone, lease, heldLease.fencingNumber, platform, engines, state.facts, context, clock)
                state.announceLeader(zone.value, heldLease)
                currentLease = heldLease
            }
            if (currentLease != null && state.hasSuccessor(zone.value, currentLease)) {
                zoneController = null
                currentLease = null
            }
            if (heldLease != null) runRound("zone") { zoneController?.step() }
            if (heldLease != null && clock() - usageWrittenAtMs >= USAGE_WRITE_INTERVAL_MS) {
                usageWrittenAtMs = clock()
                runRound("usage") { usageWriter.write() }
            }
            delay(ZONE_ROUND_INTERVAL_MS)
        }
    }

    /** Runs the coordinator's tasks under [lease], until cancelled. */
    suspend fun runCoordinator(lease: LeaseManager) {
        val reporter = UsageReporter(platform.store, platform.sendUsage, lease::held, wallClock, clock)
        var currentLease: HeldLease? = null
        while (true) {
            val heldLease = lease.held()
            if (heldLease == null) {
                coordinator = null
            } else if (coordinator == null || heldLease.fencingNumber != currentLease?.fencingNumber) {
                coordinator = Coordinator(heldLease.fencingNumber, platform, reporter, state, clock)
                state.announceLeader(FactKeys.COORDINATOR, heldLease)
            }
            currentLease = heldLease
            runRound("coordinator") { coordinator?.step() }
            delay(COORDINATOR_ROUND_INTERVAL_MS)
        }
    }

    private suspend fun runRound(
        task: String,
        block: suspend () -> Unit,
    ) {
        try {
            block()
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            metrics.count("duty.failed", "duty" to task)
            log.warn(e) { "round of leader tasks failed, retrying in the next round: task=$task" }
        }
    }

    private companion object {
        const val ZONE_ROUND_INTERVAL_MS = 1_000L
        const val COORDINATOR_ROUND_INTERVAL_MS = 2_000L
        const val USAGE_WRITE_INTERVAL_MS = 3_000L
    }
}
