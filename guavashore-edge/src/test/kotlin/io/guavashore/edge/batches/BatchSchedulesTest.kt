package io.guavashore.edge.batches

import io.guavashore.api.OrganisationId
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
 * Property tests of the guarantees about batches that must hold under all store faults. Each test runs random schedules
 * of calls against a [FaultyStore]; the message of a failed assertion names the seed.
 */
class BatchSchedulesTest {
    private val id = BatchId("b")
    private val record = batch("b", List(6) { itemSpec("i$it") }).record

    private fun schedules(block: suspend TestScope.(seed: Int, random: Random, store: FaultyStore) -> Unit) =
        repeat(SCHEDULES) { seed ->
            runTest {
                val random = Random(seed)
                block(seed, random, FaultyStore(random, faultRate = random.nextDouble(0.6)))
            }
        }

    @Test
    fun `a batch refused as not accepted is never found in the store, in ten thousand schedules`() =
        schedules { seed, _, store ->
            val gateway = BatchGateway(BatchStore(store::call) { currentTime }, { _, _ -> null }) { currentTime }
            val outcome = gateway.submit(id, record, deadlineMs = 1_000)
            store.executeDelayed()
            val exists = store.names(BATCHES).isNotEmpty()
            if (outcome.isOk) assertTrue(exists, "seed $seed: accepted but not stored")
            val refused = outcome.isErr && outcome.error == BatchRefusal.NOT_ACCEPTED
            if (refused) assertFalse(exists, "seed $seed: refused but stored")
        }

    @Test
    fun `a batch submitted to two VMs at once is stored once, in ten thousand schedules`() =
        schedules { seed, _, store ->
            val gateways =
                List(2) { BatchGateway(BatchStore(store::call) { currentTime }, { _, _ -> null }) { currentTime } }
            val outcomes = ArrayList<Boolean>()
            gateways
                .map { gateway ->
                    launch { outcomes += gateway.submit(id, record, deadlineMs = 1_000).isOk }
                }.forEach { it.join() }
            store.executeDelayed()
            if (outcomes.any { it }) assertEquals(listOf("b"), store.names(BATCHES), "seed $seed")
        }

    @Test
    fun `two concurrent runners list each item once, in one order for all readers, in ten thousand schedules`() =
        schedules { seed, random, store ->
            val batchStore = BatchStore(store::call) { currentTime }
            val states = List(2) { BatchState(id, record, revision = 1) }
            states
                .map { state ->
                    val order = state.items.shuffled(random)
                    launch { listAll(state, order, batchStore) }
                }.forEach { it.join() }
            store.executeDelayed()
            val readers = states.map { state -> state.results.map { it.item } }
            readers.forEach { assertEquals(it.distinct(), it, "seed $seed") }
            val sharedCount = readers.minOf { it.size }
            assertEquals(readers[0].take(sharedCount), readers[1].take(sharedCount), "seed $seed")
            assertEquals(record.itemIds.toSet(), readers.maxBy { it.size }.toSet(), "seed $seed")
        }

    @Test
    fun `a runner that takes over a batch knows all results that are ever listed, in ten thousand schedules`() =
        schedules { seed, random, store ->
            val batchStore = BatchStore(store::call) { currentTime }
            val first = BatchState(id, record, revision = 1)
            val second = BatchState(id, record, revision = 1)
            val earlier = launch { listAll(first, first.items.shuffled(random), batchStore, fence = 1) }
            delay(random.nextLong(MAX_TAKEOVER_DELAY_MS))
            batchStore.seal(id, storedChunks(batchStore), fence = 2).forEach(second::applyChunk)
            listAll(
                second,
                second.items.shuffled(random).take(random.nextInt(record.items.size + 1)),
                batchStore,
                fence = 2,
            )
            val known = second.results.toList()
            earlier.join()
            store.executeDelayed()
            val reader = BatchState(id, record, revision = 1)
            storedChunks(batchStore).forEach(reader::applyChunk)
            assertEquals(known, reader.results, "seed $seed")
        }

    private suspend fun storedChunks(store: BatchStore): List<ResultChunk> {
        while (true) {
            val chunks = store.results(id)
            if (chunks.isOk) return chunks.value
        }
    }

    @Test
    fun `an acknowledged end of a batch is in the store, in ten thousand schedules`() =
        schedules { seed, _, store ->
            val batchStore = BatchStore(store::call) { currentTime }
            val gateway = BatchGateway(batchStore, { _, _ -> null }) { currentTime }
            if (gateway.submit(id, record, deadlineMs = 1_000).isErr) return@schedules
            if (gateway.end(id, OrganisationId("weavers")).isErr) return@schedules
            store.executeDelayed()
            repeat(READS) {
                val read = batchStore.read(id)
                if (read.isOk) return@schedules assertTrue(read.value?.record?.ended == true, "seed $seed")
            }
        }

    private suspend fun listAll(
        state: BatchState,
        order: List<ItemState>,
        store: BatchStore,
        fence: Long = 0,
    ) = order.forEach { item ->
        if (item.phase == ItemPhase.LISTED) return@forEach
        state.settle(item, ItemOutcome.COMPLETED, nowMs = 0)
        while (item.phase != ItemPhase.LISTED && (state.lastFence ?: 0) <= fence) {
            val chunk = ResultChunk(listOfNotNull(item.result), fence)
            state.applyChunk(store.append(id, state.nextChunk, chunk))
        }
    }

    private companion object {
        const val SCHEDULES = 10_000
        const val READS = 20

        /** The first runner needs about this time to list its items. */
        const val MAX_TAKEOVER_DELAY_MS = 400L
    }
}
