package io.guavashore.edge.catalog

import com.github.michaelbull.result.Ok
import io.guavashore.api.Incarnation
import io.guavashore.api.VmId
import io.guavashore.api.ZoneId
import io.guavashore.edge.peers.Pulse
import io.guavashore.edge.peers.VmCard
import io.guavashore.platform.CallStore
import io.guavashore.platform.Collection
import io.guavashore.platform.EntryChange
import io.guavashore.platform.StoreAnswer
import io.guavashore.platform.StoreCall
import io.guavashore.platform.StoredEntry
import io.guavashore.testing.VirtualClock
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

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

    @Test
    fun `changes that come in a burst share calls, and none is missed`() {
        val declaration = Collection("declaration")
        var calls = 0
        val began = System.nanoTime()
        val store: CallStore = { call, _ ->
            val now = 1 + (System.nanoTime() - began) / NS_PER_CHANGE
            if (call is StoreCall.Watch) {
                calls++
                Ok(StoreAnswer.Changes((call.sinceRevision + 1..now).map(::change), now))
            } else {
                Ok(StoreAnswer.Listing(emptyList(), asOfRevision = 1))
            }
        }
        val catalog = Catalog(listOf(declaration, targets))
        val seen = ArrayList<Long>()
        val sync =
            CatalogSync(VmId("vm"), catalog, store, { emptyList() }, {}, { _, changes ->
                seen += changes.map { it.entry.revision }
            }, VirtualClock())
        runBlocking { withTimeoutOrNull(BURST_MS) { sync.follow(targets) } }
        assertTrue(calls <= MOST_CALLS, "$calls calls in $BURST_MS ms")
        assertEquals((2..seen.last()).toList(), seen)
    }

    private fun change(revision: Long) = EntryChange(StoredEntry("engine-$revision", revision, "{}"), deleted = false)

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

        /** A change every 5 ms, as when all engines report new weights. */
        const val NS_PER_CHANGE = 5_000_000L
        const val BURST_MS = 1_000L

        /** One call for each pause of 150 ms, and the first two. */
        const val MOST_CALLS = 9
    }
}
