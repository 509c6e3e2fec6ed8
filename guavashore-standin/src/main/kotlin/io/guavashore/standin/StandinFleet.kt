/*
 * Targets that the stand-in platform starts and stops on orders for an availability zone.
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

/** Received order to start or stop a target, also if it was rejected; [kind] is "start" or "stop". */
data class ReceivedOrder(
    val kind: String,
    val zone: String,
    val orderId: String,
    val fencingNumber: Long,
)

/** Targets of all zones of one stand-in platform. Thread-safe. */
class StandinFleet(
    private val scope: CoroutineScope,
    private val config: EngineConfig = EngineConfig(),
    private val startupMs: Long = 100,
) {
    private class RunningTarget(
        val target: StandinTarget,
        var row: PlatformTarget,
    )

    val orderRunCounter = OrderRunCounter()
    val receivedOrders = java.util.Collections.synchronizedList(mutableListOf<ReceivedOrder>())
    private val running = ConcurrentHashMap<TargetId, RunningTarget>()
    private val highestFencing = ConcurrentHashMap<ZoneId, Long>()
    private val mutex = Mutex()
    private var lastNumber = 0

    @Volatile
    var cheapUnavailable = false

    @Volatile
    var newestWeights = 1L

    fun list(zone: ZoneId): List<PlatformTarget> = running.values.map { it.row }.filter { it.zone == zone }

    fun engines(): List<StandinEngine> = running.values.mapNotNull { it.target as? StandinEngine }

    fun plainServices(): List<StandinPlainService> = running.values.mapNotNull { it.target as? StandinPlainService }

    /** Records [fencingNumber]; false if a higher one has been received in the zone. */
    fun acceptFencingNumber(
        zone: ZoneId,
        fencingNumber: Long,
    ): Boolean = highestFencing.merge(zone, fencingNumber, ::maxOf) == fencingNumber

    suspend fun start(
        zone: ZoneId,
        order: StartOrder,
    ): PlatformTarget =
        mutex.withLock {
            running.values.firstOrNull { it.row.orderId == order.orderId }?.let { return it.row }
            val id = TargetId("${order.pool}-$zone-${++lastNumber}")
            val target =
                when (order.kind) {
                    TargetKind.MODEL -> StandinEngine(id, scope, config, startVersion = newestWeights)
                    TargetKind.PLAIN -> StandinPlainService(id, orderRunCounter)
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
            running[id] = RunningTarget(target, row)
            scope.launch {
                delay(startupMs)
                running[id]?.let { it.row = it.row.copy(stage = PlatformStage.RUNNING) }
            }
            row
        }

    fun stop(id: TargetId): Boolean {
        val removed = running.remove(id) ?: return false
        removed.target.crash()
        return true
    }

    /**
     * Crashes a target; false if there is no such target. It stays listed for [delistAfterMs], unless [removeCrashed]
     * is called earlier.
     */
    fun crash(
        id: TargetId,
        delistAfterMs: Long = 1_000,
    ): Boolean {
        val crashed = running[id] ?: return false
        crashed.target.crash()
        scope.launch {
            delay(delistAfterMs)
            running.remove(id)
        }
        return true
    }

    /** Announces the reclaim of all cheap targets of [zone], stops them after [noticeMs] and returns their number. */
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

    /** Removes targets that are no longer up, such as those that crashed on a request. */
    fun removeCrashed() {
        running.values.removeIf { !it.target.isUp }
    }
}
