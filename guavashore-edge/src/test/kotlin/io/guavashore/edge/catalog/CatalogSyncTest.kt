package io.guavashore.edge.catalog

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.guavashore.api.Incarnation
import io.guavashore.api.VmId
import io.guavashore.api.ZoneId
import io.guavashore.api.stableHash
import io.guavashore.edge.peers.PeerMessage
import io.guavashore.edge.peers.Heartbeat
import io.guavashore.edge.peers.RelayingStore
import io.guavashore.edge.peers.VmRecord
import io.guavashore.metrics.Metrics
import io.guavashore.platform.CallStore
import io.guavashore.platform.Collection
import io.guavashore.platform.EntryChange
import io.guavashore.platform.StoreAnswer
import io.guavashore.platform.StoreCall
import io.guavashore.platform.StoreFault
import io.guavashore.platform.StoredEntry
import io.guavashore.testing.VirtualClock
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class CatalogSyncTest {
    private val declaration = Collection("declaration")
    private val targets = Collection("targets")

    /** A VM that many others would watch the store for. */
    private val late = (1..50).map { VmId("late-$it") }.maxBy { stableHash("watch/$it") }
    private val pulses =
        List(30) {
            val vmRecord = VmRecord(VmId("vm-$it"), Incarnation(1), "10.0.0.$it:1", ZoneId("z"), capacity = 1.0)
            Heartbeat(vmRecord, wallMs = 0, newest = emptyMap())
        }

    @Test
    fun `two of many VMs watch the store`() {
        assertEquals(2, watchers(pulses).size)
    }

    @Test
    fun `another VM watches instead of one that the store turns away`() {
        val turnedAway = watchers(pulses).first()
        val without = pulses.map { if (it.vmRecord.vm == turnedAway) it.copy(storeReachable = false) else it }
        val now = watchers(without) - turnedAway
        assertEquals(2, now.size)
    }

    @Test
    fun `changes that come in a burst share calls, and none is missed`() =
        runTest {
            val store = WatchedStore({ currentTime }) { it / MS_PER_CHANGE }
            val seen = ArrayList<Long>()
            val sync = syncWith(store) { _, changes -> seen += changes.map { it.entry.revision } }
            withTimeoutOrNull(BURST_MS) { sync.follow(targets) }
            assertTrue(store.watches <= MOST_CALLS, "${store.watches} calls in $BURST_MS ms")
            assertEquals((2..seen.last()).toList(), seen)
            assertTrue(seen.size >= BURST_MS / MS_PER_CHANGE / 2, "only ${seen.size} changes seen")
        }

    @Test
    fun `a store that answers without a change is not asked again at once`() =
        runTest {
            val store = WatchedStore({ currentTime }) { 0 }
            withTimeoutOrNull(BURST_MS) { syncWith(store) { _, _ -> }.follow(targets) }
            assertTrue(store.watches <= MOST_CALLS, "${store.watches} calls in $BURST_MS ms")
        }

    @Test
    fun `a VM that starts among others asks one of them at a time and does not list`() =
        runTest {
            var listings = 0
            val catalog = Catalog(listOf(targets))
            val call: CallStore = { _, _ -> Ok(StoreAnswer.Listing(emptyList(), asOfRevision = 1)).also { listings++ } }
            val sync = CatalogSync(late, catalog, call, { pulses }, {}, { _, _ -> }, { currentTime }, {})
            val asked = ArrayList<PeerMessage.ChangesRequest>()
            val work = launch { sync.follow(targets) }
            delay(ANSWER_MS)
            pulses.forEach { asked += sync.changesToRequest(it.copy(newest = mapOf(targets to 2L))) }
            assertEquals(listOf(PeerMessage.ChangesRequest(targets, afterRevision = 0)), asked)
            sync.onCollectionChanges(PeerMessage.CollectionChanges(targets, listOf(change(2)), completeTo = 2))
            delay(SETTLE_MS)
            work.cancel()
            assertEquals(0, listings)
            assertEquals(2, catalog.asOf(targets))
        }

    @Test
    fun `another peer is asked where the first one does not answer`() =
        runTest {
            val sync =
                CatalogSync(late, Catalog(listOf(targets)), { _, _ -> error("") }, { pulses }, {}, { _, _ -> }, {
                    currentTime
                }, {})
            val newer = pulses.map { it.copy(newest = mapOf(targets to 2L)) }
            assertEquals(1, sync.changesToRequest(newer[0]).size)
            assertEquals(0, sync.changesToRequest(newer[1]).size)
            delay(ASK_AGAIN_MS)
            assertEquals(1, sync.changesToRequest(newer[1]).size)
        }

    @Test
    fun `a VM whose peers know nothing lists by itself within a second`() =
        runTest {
            val catalog = Catalog(listOf(targets))
            val call: CallStore = { _, _ -> Ok(StoreAnswer.Listing(emptyList(), asOfRevision = 1)) }
            val sync = CatalogSync(late, catalog, call, { pulses }, {}, { _, _ -> }, { currentTime }, {})
            withTimeoutOrNull(BURST_MS + ANSWER_MS) { sync.follow(targets) }
            assertEquals(1, catalog.asOf(targets))
        }

    @Test
    fun `watches that hung through an outage are ended once the store serves again`() =
        runTest {
            val store = HangingStore { currentTime }
            val shared = RelayingStore(store::call, { emptyList() }, { _, _, _ -> null }, { currentTime }, Metrics())
            val catalog = Catalog(listOf(declaration, targets))
            val sync =
                CatalogSync(
                    VmId("vm"),
                    catalog,
                    shared::call,
                    { emptyList() },
                    {},
                    { _, _ -> },
                    { currentTime },
                    shared::endWatches,
                )
            withTimeoutOrNull(OUTAGE_END_MS + KNOWN_WITHIN_MS) {
                launch { sync.follow(declaration) }
                launch { sync.follow(targets) }
            }
            assertEquals(2, catalog.asOf(targets))
        }

    /** A store whose newest revision follows from the time, and which answers every watch at once. */
    private inner class WatchedStore(
        private val nowMs: () -> Long,
        private val revisionAt: (nowMs: Long) -> Long,
    ) {
        var watches = 0

        suspend fun call(
            call: StoreCall,
            timeoutMs: Long,
        ): Result<StoreAnswer, StoreFault> {
            delay(minOf(ANSWER_MS, timeoutMs))
            val now = 1 + revisionAt(nowMs())
            if (call !is StoreCall.Watch) return Ok(StoreAnswer.Listing(emptyList(), asOfRevision = 1))
            watches++
            return Ok(StoreAnswer.Changes((call.sinceRevision + 1..now).map(::change), now))
        }
    }

    /** A store that is silent until [OUTAGE_END_MS], never answers what was asked before, and then holds revision 2. */
    private inner class HangingStore(
        private val nowMs: () -> Long,
    ) {
        private val listed = HashSet<Collection>()

        suspend fun call(
            call: StoreCall,
            timeoutMs: Long,
        ): Result<StoreAnswer, StoreFault> {
            delay(ANSWER_MS)
            val collection = (call as? StoreCall.ListAll)?.collection
            if (collection != null && listed.add(collection)) return Ok(StoreAnswer.Listing(emptyList(), 1))
            val isAway = nowMs() < OUTAGE_END_MS
            if (isAway || collection == null) {
                delay(timeoutMs)
                return Err(StoreFault.Unknown("silent"))
            }
            return Ok(StoreAnswer.Listing(listOf(change(2).entry), asOfRevision = 2))
        }
    }

    private fun TestScope.syncWith(
        store: WatchedStore,
        onChanges: OnChanges,
    ): CatalogSync {
        val catalog = Catalog(listOf(declaration, targets))
        return CatalogSync(VmId("vm"), catalog, store::call, { emptyList() }, {}, onChanges, { currentTime }, {})
    }

    private fun change(revision: Long) = EntryChange(StoredEntry("engine-$revision", revision, "{}"), deleted = false)

    /** VMs that have a watch open once all have listed the collection, where everyone knows everyone. */
    private fun watchers(known: List<Heartbeat>): Set<VmId> =
        runBlocking {
            val watching = HashSet<VmId>()
            val work =
                launch {
                    known.forEach { own ->
                        launch { sync(own.vmRecord.vm, known - own, watching).follow(targets) }
                    }
                }
            withTimeoutOrNull(SETTLE_MS) { awaitCancellation() }
            work.cancel()
            watching
        }

    private fun sync(
        vm: VmId,
        peers: List<Heartbeat>,
        watching: MutableSet<VmId>,
    ): CatalogSync {
        val store: CallStore = { call, _ ->
            if (call is StoreCall.Watch) {
                watching += vm
                awaitCancellation()
            }
            Ok(StoreAnswer.Listing(emptyList(), asOfRevision = 1))
        }
        return CatalogSync(vm, Catalog(listOf(targets)), store, { peers }, {}, { _, _ -> }, VirtualClock(), {})
    }

    private companion object {
        /** Every VM waits for peers, lists and looks once before its first pause. */
        const val SETTLE_MS = 1_200L

        /** A change every 5 ms, as when all engines report new weights. */
        const val MS_PER_CHANGE = 5L
        const val ANSWER_MS = 1L

        /** Longer than a peer has for its answer. */
        const val ASK_AGAIN_MS = 300L
        const val BURST_MS = 1_000L

        /** One call for each pause of 150 ms, and the first two. */
        const val MOST_CALLS = 9

        /** Within the first watches' time; the users' bound on a change that the store served again is 3 s. */
        const val OUTAGE_END_MS = 3_000L
        const val KNOWN_WITHIN_MS = 3_000L
    }
}
