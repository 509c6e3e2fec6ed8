/*
 * Runs the duties of the zone's and the coordinator's lease whenever this steward holds them.
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
import io.guavashore.usage.UsageMerge
import io.guavashore.usage.UsageReporter
import io.guavashore.usage.ZoneUsageWriter
import io.guavashore.wire.ControlMessage
import io.guavashore.wire.FactKeys
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.delay

private val log = KotlinLogging.logger {}

/** Duties of one steward. [liveMembers] are the members of all zones, whose entries must confirm a drain. */
internal class Duties(
    private val zone: ZoneId,
    private val state: StewardState,
    private val platform: Platform,
    private val merge: UsageMerge,
    private val metrics: Metrics,
    private val clock: MonotonicClock,
    private val wallClock: WallClock,
    private val liveMembers: () -> Set<VmId>,
) {
    @Volatile
    private var zoneController: ZoneController? = null

    @Volatile
    private var coordinator: Coordinator? = null

    val leadsZone: Boolean get() = zoneController != null
    val coordinates: Boolean get() = coordinator != null

    /** Answers an entry's demand with shares of what this steward shares out. */
    fun share(request: ControlMessage.ShareRequest): ControlMessage.ShareReply {
        merge.merge(request.usage)
        return ControlMessage.ShareReply(
            zoneController?.report(request).orEmpty() + coordinator?.report(request).orEmpty(),
        )
    }

    /**
     * Runs the zone's duties under [lease], until cancelled. Shares of slots go on when the lease lapses, since in an
     * outage of the store nobody else can take it; they end when a higher fencing number is heard of.
     */
    suspend fun runZone(
        lease: LeaseManager,
        engines: EngineControl,
    ) {
        val usage = ZoneUsageWriter(zone, merge, platform.store, wallClock)
        val view = ZoneView(state::declarations, state::listedEntries, liveMembers)
        var current: HeldLease? = null
        var usageAtMs = clock()
        while (true) {
            val held = lease.held()
            if (held != null && held.fencingNumber != current?.fencingNumber) {
                zoneController =
                    ZoneController(zone, lease, held.fencingNumber, platform, engines, state.facts, view, clock)
                state.announce(zone.value, held)
                current = held
            }
            if (current != null && state.isSucceeded(zone.value, current)) {
                zoneController = null
                current = null
            }
            if (held != null) guarded("zone") { zoneController?.step() }
            if (held != null && clock() - usageAtMs >= USAGE_EVERY_MS) {
                usageAtMs = clock()
                guarded("usage") { usage.write() }
            }
            delay(ZONE_STEP_MS)
        }
    }

    /** Runs the coordinator's duties under [lease], until cancelled. */
    suspend fun runCoordinator(lease: LeaseManager) {
        val reporter = UsageReporter(platform.store, platform.sendUsage, lease::held, wallClock, clock)
        var current: HeldLease? = null
        while (true) {
            val held = lease.held()
            if (held == null) {
                coordinator = null
            } else if (coordinator == null || held.fencingNumber != current?.fencingNumber) {
                coordinator = Coordinator(held.fencingNumber, platform, reporter, state, clock)
                state.announce(FactKeys.COORDINATOR, held)
            }
            current = held
            guarded("coordinator") { coordinator?.step() }
            delay(COORDINATOR_STEP_MS)
        }
    }

    private suspend fun guarded(
        duty: String,
        block: suspend () -> Unit,
    ) {
        try {
            block()
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            metrics.count("duty.failed", "duty" to duty)
            log.warn(e) { "a round of the $duty's duties failed" }
        }
    }

    private companion object {
        const val ZONE_STEP_MS = 1_000L
        const val COORDINATOR_STEP_MS = 2_000L
        const val USAGE_EVERY_MS = 3_000L
    }
}
