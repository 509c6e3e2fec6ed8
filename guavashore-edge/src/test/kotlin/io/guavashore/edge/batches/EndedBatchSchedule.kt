/*
 * Random schedule of batches that are accepted and ended while several VMs relay calls to the store for each other.
 * Tests select the disturbances.
 */
package io.guavashore.edge.batches

import io.guavashore.api.VmId
import io.guavashore.platform.StoreCall
import io.guavashore.platform.StoreResponse
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlin.random.Random
import kotlin.test.assertTrue

/** Schedule that is determined by [seed]. */
internal class EndedBatchSchedule(
    val scope: TestScope,
    seed: Int,
) {
    val random = Random(seed)
    val store = VersionedStore()
    private val sound = BatchStore({ call, _ -> store.call(call) }, { scope.currentTime })

    /** Share of the reads that the store refuses because of its rate limit. */
    private var refusedShare = 0.0
    val vms: List<ScheduledVm> =
        List(VMS) { ScheduledVm(VmId("vm$it"), scope, store, Random(random.nextInt()), ::isOverLimit, ::all) }
    private val endedAtMs = HashMap<BatchId, Long>()

    /** Number of checks at which an item of a batch could be sent. */
    private var sendable = 0

    private fun all() = vms

    private fun isOverLimit(call: StoreCall) =
        (call is StoreCall.Read || call is StoreCall.ListAll || call is StoreCall.Watch) &&
            random.nextDouble() < refusedShare

    /** Repeats [action] after random pauses until the schedule ends. */
    fun repeatedly(
        maxPauseMs: Long = MAX_PAUSE_MS,
        action: suspend () -> Unit,
    ) = scope.backgroundScope.launch {
        while (true) {
            delay(random.nextLong(maxPauseMs))
            action()
        }
    }

    /** Refuses a share of the reads, or all of them, for some seconds. */
    suspend fun refuseReads() {
        refusedShare = listOf(0.5, 0.9, 1.0).random(random)
        delay(random.nextLong(MAX_LIMIT_MS))
        refusedShare = 0.0
    }

    /** Disturbs the paths of all VMs to the store, and the VMs themselves. */
    fun disturbAll() = vms.forEach { vm -> scope.backgroundScope.launch { vm.link.disturb() } }

    /** Plays the batches; returns the number of checks at which an item of a batch could be sent. */
    suspend fun play(): Int {
        vms.forEach { vm -> scope.backgroundScope.launch { vm.run() } }
        repeat(BATCH_COUNT) { scope.backgroundScope.launch { liveOf(BatchId("b$it")) } }
        while (scope.currentTime < SCHEDULE_MS) {
            delay(CHECK_INTERVAL_MS)
            vms.filter { it.calmForMs >= CALM_MS }.forEach(::check)
        }
        return sendable
    }

    private fun check(vm: ScheduledVm) =
        vm.running().forEach { id ->
            sendable++
            val endedForMs = scope.currentTime - (endedAtMs[id] ?: return@forEach)
            assertTrue(endedForMs <= CANCEL_MS, "$id could be sent $endedForMs ms after its end")
        }

    private suspend fun liveOf(id: BatchId) {
        delay(random.nextLong(MAX_START_MS))
        val accepted = accept(id)
        vms.forEach { vm ->
            scope.backgroundScope.launch {
                delay(random.nextLong(listOf(30L, 8_000L).random(random)))
                vm.onAccepted(accepted)
            }
        }
        delay(random.nextLong(MAX_LIFE_MS))
        store.replaceAny(BATCHES, id.value, sound.encode(accepted.record.asEnded()))
        endedAtMs[id] = scope.currentTime
    }

    /** Writes a new batch to the store. */
    fun accept(id: BatchId): StoredBatch {
        val content = sound.encode(batch(id.value, listOf(itemSpec("i-$id"))).record)
        val created = store.execute(StoreCall.Create(BATCHES, id.value, content)).value as StoreResponse.Entry
        return sound.decode(created.entry!!)!!
    }

    companion object {
        const val CHECK_INTERVAL_MS = 20L

        /** `contact_ms` of the users' deployments. */
        const val CALM_MS = 3_000L

        /** `cancel_ms` of the users' deployments. */
        private const val CANCEL_MS = 3_000L
        private const val VMS = 3
        private const val BATCH_COUNT = 6
        private const val SCHEDULE_MS = 30_000L
        private const val MAX_START_MS = 20_000L
        private const val MAX_LIFE_MS = 8_000L
        private const val MAX_PAUSE_MS = 4_000L
        private const val MAX_LIMIT_MS = 8_000L
    }
}
