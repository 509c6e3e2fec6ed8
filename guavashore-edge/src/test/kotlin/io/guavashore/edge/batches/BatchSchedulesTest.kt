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

/** Random schedules of the calls that must hold whatever the store does. Seeds are printed with a failure. */
class BatchSchedulesTest {
    private val id = BatchId("b")
    private val record = batch("b", List(6) { itemSpec("i$it") }).record

    private fun schedules(block: suspend TestScope.(seed: Int, random: Random, store: FaultyStore) -> Unit) =
        repeat(SCHEDULES) { seed ->
            runTest {
                val random = Random(seed)
                block(seed, random, FaultyStore(random, faults = random.nextDouble(0.6)))
            }
        }

    @Test
    fun `a batch that was said not to run is never found in the store, in ten thousand schedules`() =
        schedules { seed, _, store ->
            val desk = BatchGateway(BatchStore(store::call) { currentTime }, { _, _ -> null }) { currentTime }
            val outcome = desk.submit(id, record, deadlineMs = 1_000)
            store.settle()
            val exists = store.names(BATCHES).isNotEmpty()
            if (outcome.isOk) assertTrue(exists, "seed $seed: accepted but not stored")
            val refused = outcome.isErr && outcome.error == BatchRefusal.NOT_ACCEPTED
            if (refused) assertFalse(exists, "seed $seed: refused but stored")
        }

    @Test
    fun `a batch submitted at two VMs at once is accepted once, in ten thousand schedules`() =
        schedules { seed, _, store ->
            val desks = List(2) { BatchGateway(BatchStore(store::call) { currentTime }, { _, _ -> null }) { currentTime } }
            val outcomes = ArrayList<Boolean>()
            desks
                .map { desk ->
                    launch { outcomes += desk.submit(id, record, deadlineMs = 1_000).isOk }
                }.forEach { it.join() }
            store.settle()
            if (outcomes.any { it }) assertEquals(listOf("b"), store.names(BATCHES), "seed $seed")
        }

    @Test
    fun `two runners list each item once, at one position for all readers, in ten thousand schedules`() =
        schedules { seed, random, store ->
            val batchStore = BatchStore(store::call) { currentTime }
            val runners = List(2) { BatchState(id, record, revision = 1) }
            runners
                .map { state ->
                    val order = state.items.shuffled(random)
                    launch { listAll(state, order, batchStore) }
                }.forEach { it.join() }
            store.settle()
            val readers = runners.map { state -> state.results.map { it.item } }
            readers.forEach { assertEquals(it.distinct(), it, "seed $seed") }
            val shared = readers.minOf { it.size }
            assertEquals(readers[0].take(shared), readers[1].take(shared), "seed $seed")
            assertEquals(record.itemIds.toSet(), readers.maxBy { it.size }.toSet(), "seed $seed")
        }

    @Test
    fun `who takes a batch over knows all that is ever listed, in ten thousand schedules`() =
        schedules { seed, random, store ->
            val batchStore = BatchStore(store::call) { currentTime }
            val first = BatchState(id, record, revision = 1)
            val second = BatchState(id, record, revision = 1)
            val earlier = launch { listAll(first, first.items.shuffled(random), batchStore, fence = 1) }
            delay(random.nextLong(TAKEOVER_BY_MS))
            batchStore.seal(id, knownChunks(batchStore), fence = 2).forEach(second::list)
            listAll(
                second,
                second.items.shuffled(random).take(random.nextInt(record.items.size + 1)),
                batchStore,
                fence = 2,
            )
            val known = second.results.toList()
            earlier.join()
            store.settle()
            val reader = BatchState(id, record, revision = 1)
            knownChunks(batchStore).forEach(reader::list)
            assertEquals(known, reader.results, "seed $seed")
        }

    private suspend fun knownChunks(store: BatchStore): List<ResultChunk> {
        while (true) {
            val chunks = store.results(id)
            if (chunks.isOk) return chunks.value
        }
    }

    @Test
    fun `an end that was acknowledged is in the store, in ten thousand schedules`() =
        schedules { seed, _, store ->
            val batchStore = BatchStore(store::call) { currentTime }
            val desk = BatchGateway(batchStore, { _, _ -> null }) { currentTime }
            if (desk.submit(id, record, deadlineMs = 1_000).isErr) return@schedules
            if (desk.end(id, OrganisationId("weavers")).isErr) return@schedules
            store.settle()
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
            state.list(store.append(id, state.nextChunk, chunk))
        }
    }

    private companion object {
        const val SCHEDULES = 10_000
        const val READS = 20

        /** The first runner lists its items in about this time. */
        const val TAKEOVER_BY_MS = 400L
    }
}
