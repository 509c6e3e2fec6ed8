package io.guavashore.edge.batches

import io.guavashore.edge.peers.RelayingStore
import io.guavashore.metrics.Metrics
import io.guavashore.platform.StoreCall
import io.guavashore.platform.StoreResponse
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/**
 * Random schedules of batches that are accepted, announced and ended by other VMs while the coordinator's path to the
 * store is disturbed; failed assertions name the seed.
 */
class EndedBatchSchedulesTest {
    private class Schedule(
        val scope: TestScope,
        seed: Int,
    ) {
        val random = Random(seed)
        val store = VersionedStore()
        val link = DisturbedLink(store, Random(-seed - 1)) { scope.currentTime }
        private val relaying = RelayingStore(link::call, { emptyList() }, { _, _, _ -> null }, link::clockMs, Metrics())
        private val batchStore = BatchStore(relaying::call, link::clockMs)
        private val knowledge = BatchKnowledge(link::clockMs) { relaying.isOut }
        private val runner = idleRunner(scope.backgroundScope, batchStore, knowledge, link::clockMs)
        private val intake =
            BatchIntake(
                { _, task -> scope.backgroundScope.launch { task() } },
                runner,
                knowledge,
                batchStore,
                relaying::call,
                link::clockMs,
            )

        /** Virtual time at which the end of each batch was acknowledged. */
        val endedAtMs = HashMap<BatchId, Long>()
        val accepted = ArrayList<BatchId>()

        val calmForMs: Long get() = scope.currentTime - link.lastDisturbedMs

        fun start(disturb: Boolean) {
            scope.backgroundScope.launch { intake.follow() }
            if (disturb) scope.backgroundScope.launch { link.disturb() }
        }

        /** Batches of which an item could be sent now. */
        fun running(): List<BatchId> =
            if (link.isFrozen) emptyList() else runner.open.filter(knowledge::mayRun).map { it.id }

        /** Another VM accepts a batch, announces it to the coordinator, once or twice, and ends it in most cases. */
        suspend fun liveOf(id: BatchId) {
            val content = batchStore.encode(batch(id.value, listOf(itemSpec("i-$id"))).record)
            val created = store.execute(StoreCall.Create(BATCHES, id.value, content)).value as StoreResponse.Entry
            accepted += id
            val notice = batchStore.decode(created.entry!!)!!
            repeat(random.nextInt(3)) {
                scope.backgroundScope.launch {
                    delay(random.nextLong(listOf(30L, 1_000L, 8_000L).random(random)))
                    while (link.isFrozen) delay(10)
                    intake.onAccepted(notice)
                }
            }
            if (random.nextInt(4) == 0) return
            delay(random.nextLong(MAX_LIFE_MS))
            store.replaceAny(BATCHES, id.value, batchStore.encode(notice.record.asEnded()))
            endedAtMs[id] = scope.currentTime
        }
    }

    private fun schedules(
        disturb: Boolean,
        block: suspend Schedule.() -> Unit,
    ) = repeat(SCHEDULES) { seed ->
        runTest {
            try {
                Schedule(this, seed).apply { start(disturb) }.block()
            } catch (e: AssertionError) {
                throw AssertionError("seed $seed: ${e.message}", e)
            }
            backgroundScope.cancel()
        }
    }

    private suspend fun Schedule.playBatches() {
        val lives =
            List(BATCH_COUNT) {
                scope.launch {
                    delay(random.nextLong(MAX_START_MS))
                    liveOf(BatchId("b$it"))
                }
            }
        while (lives.any { it.isActive } || scope.currentTime < SCHEDULE_MS) {
            delay(CHECK_INTERVAL_MS)
            if (calmForMs < CALM_MS) continue
            running().forEach { id ->
                val endedForMs = scope.currentTime - (endedAtMs[id] ?: return@forEach)
                assertTrue(endedForMs <= CANCEL_MS, "$id could be sent $endedForMs ms after its end")
            }
        }
    }

    /** Guards against items of ended batches that reach engines: late notices, old listings, silent watches. */
    @Test
    fun `no item of a batch can be sent after its end is known to the store, in a thousand schedules`() =
        schedules(disturb = true) { playBatches() }

    @Test
    fun `all open batches run once the store is reachable, and no others, in a thousand schedules`() =
        schedules(disturb = false) {
            playBatches()
            delay(SETTLE_MS)
            assertEquals(accepted.toSet() - endedAtMs.keys, running().toSet())
        }

    @Test
    fun `a started batch goes on while the store is out, and one that was never started does not`() =
        runTest {
            var isOut = false
            val knowledge = BatchKnowledge({ currentTime }) { isOut }
            val started = batch("b1", listOf(itemSpec("i1")))
            val adopted = batch("b2", listOf(itemSpec("i2")))
            knowledge.onChangesApplied(revision = 1, sentAtMs = currentTime)
            assertTrue(knowledge.mayRun(started))
            delay(BatchKnowledge.MAX_AGE_MS + 1)
            assertFalse(knowledge.mayRun(started))
            isOut = true
            assertTrue(knowledge.mayRun(started))
            assertFalse(knowledge.mayRun(adopted))
        }

    @Test
    fun `a notice of a batch that is older than the applied changes is not news`() {
        val knowledge = BatchKnowledge({ 0 }) { false }
        assertFalse(knowledge.isNews(revision = 1), "before the first listing")
        knowledge.onChangesApplied(revision = 7, sentAtMs = 0)
        assertFalse(knowledge.isNews(revision = 7))
        assertTrue(knowledge.isNews(revision = 8))
    }

    private companion object {
        const val SCHEDULES = 1_000
        const val BATCH_COUNT = 8
        const val SCHEDULE_MS = 30_000L
        const val MAX_START_MS = 20_000L
        const val MAX_LIFE_MS = 8_000L
        const val CHECK_INTERVAL_MS = 20L
        const val SETTLE_MS = 4_000L

        /** `cancel_ms` and `contact_ms` of the users' deployments. */
        const val CANCEL_MS = 3_000L
        const val CALM_MS = 3_000L
    }
}
