package io.guavashore.edge.catalog

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.guavashore.api.Incarnation
import io.guavashore.api.VmId
import io.guavashore.api.ZoneId
import io.guavashore.api.stableHash
import io.guavashore.edge.peers.Heartbeat
import io.guavashore.edge.peers.PeerMessage
import io.guavashore.edge.peers.RelayingStore
import io.guavashore.edge.peers.VmRecord
import io.guavashore.metrics.Metrics
import io.guavashore.platform.CallStore
import io.guavashore.platform.CollectionName
import io.guavashore.platform.EntryChange
import io.guavashore.platform.StoreCall
import io.guavashore.platform.StoreCallError
import io.guavashore.platform.StoreResponse
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
    private val declaration = CollectionName("declaration")
    private val targets = CollectionName("targets")

    /** A VM over which all or almost all others take precedence in watching the store. */
    private val lastRanked = (1..50).map { VmId("late-$it") }.maxBy { stableHash("watch/$it") }
    private val heartbeats =
        List(30) {
            val vmRecord = VmRecord(VmId("vm-$it"), Incarnation(1), "10.0.0.$it:1", ZoneId("z"), capacity = 1.0)
            Heartbeat(vmRecord, wallMs = 0, newest = emptyMap())
        }

    @Test
    fun `exactly two of many VMs watch the store`() {
        assertEquals(2, watchers(heartbeats).size)
    }

    @Test
    fun `another VM replaces a watcher that the store rejects`() {
        val rejectedVm = watchers(heartbeats).first()
        val withRejectedVm =
            heartbeats.map { if (it.vmRecord.vm == rejectedVm) it.copy(storeReachable = false) else it }
        val others = watchers(withRejectedVm) - rejectedVm
        assertEquals(2, others.size)
    }

    @Test
    fun `a burst of changes is received with few calls to the store and no change is missed`() =
        runTest {
            val store = WatchedStore({ currentTime }) { it / MS_PER_CHANGE }
            val seen = ArrayList<Long>()
            val sync = syncWith(store) { _, changes -> seen += changes.map { it.entry.revision } }
            withTimeoutOrNull(BURST_MS) { sync.follow(targets) }
            assertTrue(store.watches <= MAX_CALLS, "${store.watches} calls in $BURST_MS ms")
            assertEquals((2..seen.last()).toList(), seen)
            assertTrue(seen.size >= BURST_MS / MS_PER_CHANGE / 2, "only ${seen.size} changes seen")
        }

    @Test
    fun `a watch that the store answers without a change is not repeated at once`() =
        runTest {
            val store = WatchedStore({ currentTime }) { 0 }
            withTimeoutOrNull(BURST_MS) { syncWith(store) { _, _ -> }.follow(targets) }
            assertTrue(store.watches <= MAX_CALLS, "${store.watches} calls in $BURST_MS ms")
        }

    @Test
    fun `a VM that starts while others run requests the collection from one peer at a time and does not list it`() =
        runTest {
            var listings = 0
            val catalog = Catalog(listOf(targets))
            val call: CallStore = {
                _,
                _,
                ->
                Ok(StoreResponse.Listing(emptyList(), asOfRevision = 1)).also { listings++ }
            }
            val sync = CatalogSync(lastRanked, catalog, call, { heartbeats }, {}, { _, _ -> }, { currentTime }, {})
            val requested = ArrayList<PeerMessage.ChangesRequest>()
            val work = launch { sync.follow(targets) }
            delay(RESPONSE_MS)
            heartbeats.forEach { requested += sync.changesToRequest(it.copy(newest = mapOf(targets to 2L))) }
            assertEquals(listOf(PeerMessage.ChangesRequest(targets, afterRevision = 0)), requested)
            sync.onCollectionChanges(PeerMessage.CollectionChanges(targets, listOf(change(2)), completeTo = 2))
            delay(SETTLE_MS)
            work.cancel()
            assertEquals(0, listings)
            assertEquals(2, catalog.asOf(targets))
        }

    @Test
    fun `changes are requested from another peer if the first one does not respond`() =
        runTest {
            val sync =
                CatalogSync(
                    lastRanked,
                    Catalog(listOf(targets)),
                    { _, _ -> error("") },
                    { heartbeats },
                    {},
                    { _, _ -> },
                    { currentTime },
                    {},
                )
            val newer = heartbeats.map { it.copy(newest = mapOf(targets to 2L)) }
            assertEquals(1, sync.changesToRequest(newer[0]).size)
            assertEquals(0, sync.changesToRequest(newer[1]).size)
            delay(PEER_REQUEST_INTERVAL_MS)
            assertEquals(1, sync.changesToRequest(newer[1]).size)
        }

    @Test
    fun `a VM whose peers do not know the collection lists it by itself within a second`() =
        runTest {
            val catalog = Catalog(listOf(targets))
            val call: CallStore = { _, _ -> Ok(StoreResponse.Listing(emptyList(), asOfRevision = 1)) }
            val sync = CatalogSync(lastRanked, catalog, call, { heartbeats }, {}, { _, _ -> }, { currentTime }, {})
            withTimeoutOrNull(BURST_MS + RESPONSE_MS) { sync.follow(targets) }
            assertEquals(1, catalog.asOf(targets))
        }

    @Test
    fun `watches that hang after an outage are ended once the store is available again`() =
        runTest {
            val store = HangingStore { currentTime }
            val relay = RelayingStore(store::call, { emptyList() }, { _, _, _ -> null }, { currentTime }, Metrics())
            val catalog = Catalog(listOf(declaration, targets))
            val sync =
                CatalogSync(
                    VmId("vm"),
                    catalog,
                    relay::call,
                    { emptyList() },
                    {},
                    { _, _ -> },
                    { currentTime },
                    relay::endWatches,
                )
            withTimeoutOrNull(OUTAGE_END_MS + RECOVERY_MS) {
                launch { sync.follow(declaration) }
                launch { sync.follow(targets) }
            }
            assertEquals(2, catalog.asOf(targets))
        }

    /** A store whose newest revision is a function of the time, and which answers every watch at once. */
    private inner class WatchedStore(
        private val nowMs: () -> Long,
        private val revisionAt: (nowMs: Long) -> Long,
    ) {
        var watches = 0

        suspend fun call(
            call: StoreCall,
            timeoutMs: Long,
        ): Result<StoreResponse, StoreCallError> {
            delay(minOf(RESPONSE_MS, timeoutMs))
            val now = 1 + revisionAt(nowMs())
            if (call !is StoreCall.Watch) return Ok(StoreResponse.Listing(emptyList(), asOfRevision = 1))
            watches++
            return Ok(StoreResponse.Changes((call.sinceRevision + 1..now).map(::change), now))
        }
    }

    /**
     * A store that answers only the first listing of each collection until [OUTAGE_END_MS], then lists revision 2. It
     * never answers a watch.
     */
    private inner class HangingStore(
        private val nowMs: () -> Long,
    ) {
        private val listed = HashSet<CollectionName>()

        suspend fun call(
            call: StoreCall,
            timeoutMs: Long,
        ): Result<StoreResponse, StoreCallError> {
            delay(RESPONSE_MS)
            val collection = (call as? StoreCall.ListAll)?.collection
            if (collection != null && listed.add(collection)) return Ok(StoreResponse.Listing(emptyList(), 1))
            val isUnavailable = nowMs() < OUTAGE_END_MS
            if (isUnavailable || collection == null) {
                delay(timeoutMs)
                return Err(StoreCallError.Unknown("no response"))
            }
            return Ok(StoreResponse.Listing(listOf(change(2).entry), asOfRevision = 2))
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

    /** VMs with an open watch after all of [known] have started, if each knows all others. */
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
            Ok(StoreResponse.Listing(emptyList(), asOfRevision = 1))
        }
        return CatalogSync(vm, Catalog(listOf(targets)), store, { peers }, {}, { _, _ -> }, VirtualClock(), {})
    }

    private companion object {
        /** Time in which every VM has waited for its peers, listed the collection and decided whether to watch. */
        const val SETTLE_MS = 1_200L

        /** A change every 5 ms, as happens when all engines report new weights. */
        const val MS_PER_CHANGE = 5L
        const val RESPONSE_MS = 1L

        /** Longer than the time after which changes are requested from another peer. */
        const val PEER_REQUEST_INTERVAL_MS = 300L
        const val BURST_MS = 1_000L

        /** One call per pause of 150 ms, and the first two. */
        const val MAX_CALLS = 9

        /** Ends before the first watches time out. */
        const val OUTAGE_END_MS = 3_000L

        /** The users require a change to be known within 3 s after the store serves it again. */
        const val RECOVERY_MS = 3_000L
    }
}
