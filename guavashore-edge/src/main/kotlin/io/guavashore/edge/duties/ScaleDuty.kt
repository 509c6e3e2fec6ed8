/*
 * Orders the number of engines that [planScale] wants.
 */
package io.guavashore.edge.duties

import io.github.oshai.kotlinlogging.KotlinLogging
import io.guavashore.api.MonotonicClock
import io.guavashore.api.ServiceId
import io.guavashore.api.ZoneId
import io.guavashore.edge.declared.EdgeDeclaration
import kotlinx.coroutines.delay

private val log = KotlinLogging.logger {}

/** What the scaler sees of batches, engines and loads. */
class EngineDemandView(
    val openItems: (ServiceId) -> Int,
    val running: (ServiceId, ZoneId) -> Int,
    val loadsPerSecond: (ServiceId) -> Double,
    val versionEveryMs: (ServiceId) -> Long,
)

/** Scaler of the coordinator. */
class ScaleDuty(
    private val declared: () -> EdgeDeclaration?,
    private val view: EngineDemandView,
    private val port: CoordinatorPort,
    private val right: () -> LeaseGrant?,
    private val clock: MonotonicClock,
) {
    private class Sample(
        val atMs: Long,
        val items: Int,
    )

    private val samples = HashMap<ServiceId, ArrayDeque<Sample>>()
    private val settled = SettledCounts(clock)
    private val initially = HashMap<ServiceId, Int>()
    private val ordered = HashMap<Pair<ServiceId, ZoneId>, TargetCount>()
    private val notBeforeMs = HashMap<Pair<ServiceId, ZoneId>, Long>()

    /** Scales until cancelled. */
    suspend fun run() {
        while (true) {
            declared()?.let { step(it) }
            delay(LOOK_EVERY_MS)
        }
    }

    private suspend fun step(map: EdgeDeclaration) {
        map.services.values.forEach { service ->
            val spec = service.scaling ?: return@forEach
            val engine = service.engine ?: return@forEach
            val present = spec.priceByZone.keys.sumOf { view.running(service.id, it) }
            if (!settled.isSettled(service.id, present)) return@forEach
            val demand =
                EngineDemand(
                    slots = engine.slots,
                    models = engine.models.size,
                    mostOpenItems = mostOpen(service.id),
                    presentEngines = initially.getOrPut(service.id) { present },
                    loadsPerSecond = view.loadsPerSecond(service.id),
                    versionEveryMs = view.versionEveryMs(service.id),
                )
            planScale(service.id, spec, demand).forEach { order(it, spec.bootMs) }
        }
    }

    /** Highest number of open items lately; null until the first have come. */
    private fun mostOpen(service: ServiceId): Int? {
        val recent = samples.getOrPut(service) { ArrayDeque() }
        recent.addLast(Sample(clock(), view.openItems(service)))
        while (clock() - recent.first().atMs > MEMORY_MS) recent.removeFirst()
        return recent.maxOf { it.items }.takeIf { it > 0 }
    }

    /** Orders more engines, never fewer: the demand of steps comes in waves, and an idle engine costs little. */
    private suspend fun order(
        wanted: TargetCount,
        bootMs: Long,
    ) {
        val subject = wanted.service to wanted.zone
        val present = maxOf(ordered[subject]?.count ?: 0, view.running(wanted.service, wanted.zone))
        if (wanted.count <= present || clock() < (notBeforeMs[subject] ?: 0)) return
        val holder = right() ?: return
        val outcome = port.orderTargets(wanted, holder)
        log.info {
            "engines ordered: service=${wanted.service} zone=${wanted.zone} count=${wanted.count} present=$present " +
                "outcome=$outcome fence=${holder.fencingNumber}"
        }
        if (outcome == PlatformCallOutcome.DONE) ordered[subject] = wanted
        notBeforeMs[subject] = clock() + if (outcome == PlatformCallOutcome.AGAIN) AGAIN_MS else bootMs
    }

    private companion object {
        const val LOOK_EVERY_MS = 400L

        /** A few steps of a trainer. */
        const val MEMORY_MS = 20_000L
        const val AGAIN_MS = 1_000L
    }
}
