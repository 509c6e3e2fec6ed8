package io.guavashore.edge.peers

import io.guavashore.api.VmId
import io.guavashore.edge.batches.BATCHES
import io.guavashore.edge.batches.BatchGateway
import io.guavashore.edge.batches.BatchId
import io.guavashore.edge.batches.BatchRefusal
import io.guavashore.edge.batches.BatchStore
import io.guavashore.edge.batches.FaultyStore
import io.guavashore.edge.batches.batch
import io.guavashore.edge.batches.itemSpec
import io.guavashore.metrics.Metrics
import io.guavashore.platform.StoreCall
import io.guavashore.platform.StoreCallError
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Random schedules of one VM's store calls, made directly and through a peer; failed assertions name the seed. */
class RelayedCallSchedulesTest {
    /** Guards against a 503 for a batch that runs: a relayed write without a response, followed by refusals. */
    @Test
    fun `a batch refused as not accepted is never found in the store, in ten thousand schedules`() {
        var refusals = 0
        repeat(SCHEDULES) { seed ->
            runTest {
                val store = FaultyStore(Random(seed), Random(seed).nextDouble(MAX_FAULT_RATE))
                val relaying = relayingStore(store, Random(-seed - 1))
                repeat(EARLIER_CALLS) { relaying.call(StoreCall.Read(BATCHES, "other"), timeoutMs = 100) }
                val gateway = BatchGateway(BatchStore(relaying::call) { currentTime }, { _, _ -> null }) { currentTime }
                val outcome = gateway.submit(BatchId("b"), batch("b", listOf(itemSpec("i"))).record, deadlineMs = 500)
                store.executeDelayed()
                val exists = store.names(BATCHES).isNotEmpty()
                if (outcome.isOk) return@runTest assertTrue(exists, "seed $seed: accepted but not stored")
                if (outcome.error != BatchRefusal.NOT_ACCEPTED) return@runTest
                refusals++
                assertFalse(exists, "seed $seed: refused but stored")
            }
        }
        assertTrue(refusals > MIN_REFUSALS, "only $refusals refusals")
    }

    @Test
    fun `a call reported as not done never takes effect, in ten thousand schedules`() =
        repeat(SCHEDULES) { seed ->
            runTest {
                val store = FaultyStore(Random(seed), Random(seed).nextDouble(MAX_FAULT_RATE))
                val relaying = relayingStore(store, Random(-seed - 1))
                val created = HashMap<String, Boolean>()
                repeat(CALLS) { number ->
                    val outcome = relaying.call(StoreCall.Create(BATCHES, "b$number", "{}"), timeoutMs = 100)
                    if (outcome.isOk) created["b$number"] = true
                    if (outcome.isErr && outcome.error is StoreCallError.NotDone) created["b$number"] = false
                }
                store.executeDelayed()
                val names = store.names(BATCHES)
                created.forEach { (name, isDone) -> assertTrue(isDone == name in names, "seed $seed: $name") }
            }
        }

    /** Store client of a VM with one peer, whose replies to relayed calls may be lost. */
    private fun TestScope.relayingStore(
        store: FaultyStore,
        random: Random,
    ): RelayingStore {
        val peer = RelayingStore(store::call, { emptyList() }, { _, _, _ -> null }, { currentTime }, Metrics())
        return RelayingStore(
            direct = store::call,
            relays = { listOf(VmId("peer")).filter { random.nextInt(4) > 0 } },
            callPeer = { _, call, timeoutMs ->
                delay(random.nextLong(1, 5))
                when (random.nextInt(6)) {
                    0 -> null.also { delay(timeoutMs) }
                    1 -> null.also { peer.callForPeer(call as PeerCall.Store) }
                    2 -> PeerReply.NotHere.also { peer.callForPeer(call as PeerCall.Store) }
                    else -> peer.callForPeer(call as PeerCall.Store)
                }
            },
            clock = { currentTime },
            metrics = Metrics(),
        )
    }

    private companion object {
        const val SCHEDULES = 10_000
        const val CALLS = 6
        const val EARLIER_CALLS = 2
        const val MAX_FAULT_RATE = 0.9

        /** Below this, the schedules would hardly reach the refusals that the test is about. */
        const val MIN_REFUSALS = 100
    }
}
