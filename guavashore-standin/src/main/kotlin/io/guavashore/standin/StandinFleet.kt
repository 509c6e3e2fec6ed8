/*
 * Targets that the platform's stand-in runs: the order interface of each availability zone.
 */
package io.guavashore.standin

import io.guavashore.api.Endpoint
import io.guavashore.api.TargetId
import io.guavashore.api.TargetKind
import io.guavashore.api.ZoneId
import io.guavashore.platform.PlatformStage
import io.guavashore.platform.PlatformTarget
import io.guavashore.platform.StartOrder
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import java.util.concurrent.ConcurrentHashMap

/** An order as it came in. */
data class SeenOrder(
    val kind: String,
    val zone: String,
    val orderId: String,
    val fencingNumber: Long,
)

/** Fleet of one stand-in. Thread-safe. */
class StandinFleet(
    private val scope: CoroutineScope,
    private val traits: EngineTraits = EngineTraits(),
    private val startMs: Long = 100,
) {
    private class Running(
        val target: StandinTarget,
        var row: PlatformTarget,
    )

    val book = OrderBook()
    val seen = java.util.Collections.synchronizedList(mutableListOf<SeenOrder>())
    private val running = ConcurrentHashMap<TargetId, Running>()
    private val newestFencing = ConcurrentHashMap<ZoneId, Long>()
    private val mutex = Mutex()
    private var nextNumber = 0

    @Volatile
    var noCheap = false

    @Volatile
    var newestWeights = 1L

    fun list(zone: ZoneId): List<PlatformTarget> = running.values.map { it.row }.filter { it.zone == zone }

    fun engines(): List<StandinEngine> = running.values.mapNotNull { it.target as? StandinEngine }

    fun plainServices(): List<StandinPlainService> = running.values.mapNotNull { it.target as? StandinPlainService }

    /** False if a newer fencing number was seen in the zone. */
    fun admits(
        zone: ZoneId,
        fencingNumber: Long,
    ): Boolean = newestFencing.merge(zone, fencingNumber, ::maxOf) == fencingNumber

    suspend fun start(
        zone: ZoneId,
        order: StartOrder,
    ): PlatformTarget =
        mutex.withLock {
            running.values.firstOrNull { it.row.orderId == order.orderId }?.let { return it.row }
            val id = TargetId("${order.pool}-$zone-${++nextNumber}")
            val target =
                when (order.kind) {
                    TargetKind.MODEL -> StandinEngine(id, scope, traits, startVersion = newestWeights)
                    TargetKind.PLAIN -> StandinPlainService(id, book)
                }
            target.start()
            val row =
                PlatformTarget(
                    id = id,
                    team = order.team,
                    pool = order.pool,
                    kind = order.kind,
                    zone = zone,
                    endpoint = Endpoint("127.0.0.1", target.port),
                    cheap = order.cheap,
                    stage = PlatformStage.STARTING,
                    startedAtMs = System.currentTimeMillis(),
                    orderId = order.orderId,
                )
            running[id] = Running(target, row)
            scope.launch {
                delay(startMs)
                running[id]?.let { it.row = it.row.copy(stage = PlatformStage.RUNNING) }
            }
            row
        }

    fun stop(id: TargetId): Boolean {
        val stopped = running.remove(id) ?: return false
        stopped.target.crash()
        return true
    }

    /** Crashes a target; the platform lists it on for a while, then drops it. */
    fun crash(
        id: TargetId,
        noticedAfterMs: Long = 1_000,
    ): Boolean {
        val crashed = running[id] ?: return false
        crashed.target.crash()
        scope.launch {
            delay(noticedAfterMs)
            running.remove(id)
        }
        return true
    }

    /** Gives notice to all cheap targets of [zone] and ends them after [noticeMs]. */
    fun reclaim(
        zone: ZoneId,
        noticeMs: Long,
    ): Int {
        val cheap = running.values.filter { it.row.zone == zone && it.row.cheap }
        cheap.forEach { it.row = it.row.copy(stage = PlatformStage.RECLAIMING) }
        scope.launch {
            delay(noticeMs)
            cheap.forEach { stop(it.row.id) }
        }
        return cheap.size
    }

    /** Drops targets that crashed by themselves. */
    fun dropCrashed() {
        running.values.removeIf { !it.target.isUp }
    }
}
