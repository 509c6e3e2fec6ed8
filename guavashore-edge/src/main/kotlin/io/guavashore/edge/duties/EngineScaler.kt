/*
 * Orders engines from the platform until each zone has the number that [planEngineCounts] computes.
 */
package io.guavashore.edge.duties

import io.github.oshai.kotlinlogging.KotlinLogging
import io.guavashore.api.MonotonicClock
import io.guavashore.api.ServiceId
import io.guavashore.api.ZoneId
import io.guavashore.edge.declared.EdgeDeclaration
import kotlinx.coroutines.delay

private val log = KotlinLogging.logger {}

/**
 * Inputs of the scaler.
 *
 * @property openItems open batch items of a service
 * @property running usable engines of a service in a zone
 * @property loadsPerSecond weight loads that the engines of a service can complete per second
 * @property versionIntervalMs time between two versions of one model
 * @property evacuatedZones zones to whose engines nothing may be sent
 */
class EngineDemandView(
    val openItems: (ServiceId) -> Int,
    val running: (ServiceId, ZoneId) -> Int,
    val loadsPerSecond: (ServiceId) -> Double,
    val versionIntervalMs: (ServiceId) -> Long,
    val evacuatedZones: () -> Set<ZoneId> = { emptySet() },
)

/** Scales the engines of all services that declare scaling; runs on the coordinator. Not thread-safe. */
class EngineScaler(
    private val declared: () -> EdgeDeclaration?,
    private val view: EngineDemandView,
    private val port: CoordinatorPort,
    private val leaseGrant: () -> LeaseGrant?,
    private val clock: MonotonicClock,
) {
    private class Sample(
        val atMs: Long,
        val items: Int,
    )

    private val samples = HashMap<ServiceId, ArrayDeque<Sample>>()
    private val stableCounts = StableEngineCounts(clock)
    private val initialCounts = HashMap<ServiceId, Int>()
    private val ordered = HashMap<Pair<ServiceId, ZoneId>, TargetCount>()
    private val notBeforeMs = HashMap<Pair<ServiceId, ZoneId>, Long>()

    /** Scales until cancelled. */
    suspend fun run() {
        while (true) {
            declared()?.let { step(it) }
            delay(POLL_INTERVAL_MS)
        }
    }

    private suspend fun step(declaration: EdgeDeclaration) {
        declaration.services.values.forEach { service ->
            val spec = service.scaling ?: return@forEach
            val engine = service.engine ?: return@forEach
            val running = spec.priceByZone.keys.sumOf { view.running(service.id, it) }
            if (!stableCounts.isStable(service.id, running)) return@forEach
            val demand =
                EngineDemand(
                    slots = engine.slots,
                    models = engine.models.size,
                    maxOpenItems = maxOpenItemsOf(service.id),
                    initialEngines = initialCounts.getOrPut(service.id) { running },
                    loadsPerSecond = view.loadsPerSecond(service.id),
                    versionIntervalMs = view.versionIntervalMs(service.id),
                )
            planEngineCounts(service.id, spec, demand, view.evacuatedZones()).forEach { order(it, spec.bootMs) }
        }
    }

    /** Maximum of open items within [SAMPLE_WINDOW_MS]; null if there were none. */
    private fun maxOpenItemsOf(service: ServiceId): Int? {
        val recent = samples.getOrPut(service) { ArrayDeque() }
        recent.addLast(Sample(clock(), view.openItems(service)))
        while (clock() - recent.first().atMs > SAMPLE_WINDOW_MS) recent.removeFirst()
        return recent.maxOf { it.items }.takeIf { it > 0 }
    }

    /** Orders more engines, never fewer: each training step is a burst of demand, and an idle engine costs little. */
    private suspend fun order(
        desired: TargetCount,
        bootMs: Long,
    ) {
        val key = desired.service to desired.zone
        val orderedOrRunning = maxOf(ordered[key]?.count ?: 0, view.running(desired.service, desired.zone))
        if (desired.count <= orderedOrRunning || clock() < (notBeforeMs[key] ?: 0)) return
        val grant = leaseGrant() ?: return
        val outcome = port.orderTargets(desired, grant)
        log.info {
            "engines ordered: service=${desired.service} zone=${desired.zone} count=${desired.count} " +
                "present=$orderedOrRunning outcome=$outcome fence=${grant.fencingNumber}"
        }
        if (outcome == PlatformCallOutcome.DONE) ordered[key] = desired
        notBeforeMs[key] = clock() + if (outcome == PlatformCallOutcome.AGAIN) RETRY_DELAY_MS else bootMs
    }

    private companion object {
        const val POLL_INTERVAL_MS = 400L

        /** Window for the maximum of open items; covers a few training steps. */
        const val SAMPLE_WINDOW_MS = 20_000L
        const val RETRY_DELAY_MS = 1_000L
    }
}
