package io.guavashore.edge.catalog

import com.github.michaelbull.result.Ok
import io.guavashore.api.Incarnation
import io.guavashore.api.VmId
import io.guavashore.api.ZoneId
import io.guavashore.edge.peers.Pulse
import io.guavashore.edge.peers.VmCard
import io.guavashore.platform.CallStore
import io.guavashore.platform.Collection
import io.guavashore.platform.StoreAnswer
import io.guavashore.platform.StoreCall
import io.guavashore.testing.VirtualClock
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.test.Test
import kotlin.test.assertEquals

class CatalogSyncTest {
    private val targets = Collection("targets")
    private val pulses =
        List(30) {
            val card = VmCard(VmId("vm-$it"), Incarnation(1), "10.0.0.$it:1", ZoneId("z"), capacity = 1.0)
            Pulse(card, wallMs = 0, newest = emptyMap())
        }

    @Test
    fun `two of many VMs watch the store`() {
        assertEquals(2, watchers(pulses).size)
    }

    @Test
    fun `another VM watches instead of one that the store turns away`() {
        val turnedAway = watchers(pulses).first()
        val without = pulses.map { if (it.card.vm == turnedAway) it.copy(storeReachable = false) else it }
        val now = watchers(without) - turnedAway
        assertEquals(2, now.size)
    }

    /** VMs that have a watch open once all have listed the collection, where everyone knows everyone. */
    private fun watchers(known: List<Pulse>): Set<VmId> =
        runBlocking {
            val watching = HashSet<VmId>()
            val work =
                launch {
                    known.forEach { own ->
                        launch { sync(own.card.vm, known - own, watching).follow(targets) }
                    }
                }
            withTimeoutOrNull(SETTLE_MS) { awaitCancellation() }
            work.cancel()
            watching
        }

    private fun sync(
        vm: VmId,
        peers: List<Pulse>,
        watching: MutableSet<VmId>,
    ): CatalogSync {
        val store: CallStore = { call, _ ->
            if (call is StoreCall.Watch) {
                watching += vm
                awaitCancellation()
            }
            Ok(StoreAnswer.Listing(emptyList(), asOfRevision = 1))
        }
        return CatalogSync(vm, Catalog(listOf(targets)), store, { peers }, {}, { _, _ -> }, VirtualClock())
    }

    private companion object {
        /** Every VM lists and looks once before its first pause. */
        const val SETTLE_MS = 150L
    }
}
