/*
 * Keeps the [Catalog] up to date, from the store and from peers.
 *
 * Every call to the store has a price, so two VMs watch it and tell the others. A VM that hears in a peer's pulse of
 * changes that it lacks asks that peer for them; a VM without peers, or whose watchers have gone quiet, watches itself.
 * A VM that starts among others takes from them what they know: VMs are restarted by the dozen.
 */
package io.guavashore.edge.catalog

import io.github.oshai.kotlinlogging.KotlinLogging
import io.guavashore.api.MonotonicClock
import io.guavashore.api.VmId
import io.guavashore.api.stableHash
import io.guavashore.edge.peers.PeerMessage
import io.guavashore.edge.peers.Heartbeat
import io.guavashore.platform.CallStore
import io.guavashore.platform.Collection
import io.guavashore.platform.EntryChange
import io.guavashore.platform.StoreAnswer
import io.guavashore.platform.StoreCall
import io.guavashore.platform.StoreFault
import kotlinx.coroutines.delay

private val log = KotlinLogging.logger {}

/** Hears of changes that were applied. */
typealias OnChanges = (collection: Collection, changes: List<EntryChange>) -> Unit

/** Sends a message to all peers that are alive. */
typealias Broadcast = (PeerMessage) -> Unit

/** Ends this VM's open watches of the store, whose followers then list. */
typealias EndWatches = () -> Unit

/** Synchronisation of one VM's catalog. */
class CatalogSync(
    private val self: VmId,
    private val catalog: Catalog,
    private val call: CallStore,
    private val alivePeers: () -> List<Heartbeat>,
    private val broadcast: Broadcast,
    private val onChanges: OnChanges,
    private val clock: MonotonicClock,
    private val endWatches: EndWatches,
) {
    private var awayUntilMs = 0L

    /** Order in which VMs watch the store, by hash; looked up for every peer several times a second. */
    private val ranks = HashMap<VmId, Long>()

    /** True while the store is away, and shortly after: entries may be missing for that reason alone. */
    fun storeRecentlyUnavailable(): Boolean = clock() < awayUntilMs

    /** Times before which no peer is asked again for what it was asked for. */
    private val askAgainAtMs = HashMap<Collection, Long>()

    /** Keeps [collection] up to date until cancelled. */
    suspend fun follow(collection: Collection) {
        awaitPeers(collection)
        while (true) {
            if (catalog.isKnown(collection) && rank() >= WATCHERS) {
                delay(LOOK_EVERY_MS)
                continue
            }
            val fault = if (catalog.isKnown(collection)) watch(collection) else list(collection)
            if (fault != null) recover(collection, fault)
        }
    }

    fun onCollectionChanges(news: PeerMessage.CollectionChanges) = applied(news.collection, news.changes, news.completeTo, tellPeers = false)

    fun onChangesRequest(wanted: PeerMessage.ChangesRequest) =
        PeerMessage.CollectionChanges(
            collection = wanted.collection,
            changes = catalog.changesAfter(wanted.collection, wanted.afterRevision),
            completeTo = catalog.asOf(wanted.collection),
        )

    /** What to ask the sender of [pulse] for. One peer at a time is asked for what a collection lacks here. */
    fun changesToRequest(pulse: Heartbeat): List<PeerMessage.ChangesRequest> {
        val now = clock()
        return pulse.newest
            .filter { (collection, newest) -> collection in catalog.collections && lacks(collection, newest) }
            .filter { (collection, _) -> now >= (askAgainAtMs[collection] ?: now) }
            .map { (collection, _) ->
                askAgainAtMs[collection] = now + ASK_AGAIN_MS
                PeerMessage.ChangesRequest(collection, catalog.asOf(collection))
            }
    }

    /** Waits until the collection is known from peers, or it is for this VM to list it. */
    private suspend fun awaitPeers(collection: Collection) {
        repeat((PEERS_MS / PEERS_LOOK_MS).toInt()) { look ->
            val mayList = look * PEERS_LOOK_MS >= FIRST_PULSES_MS && rank() < WATCHERS
            if (mayList || catalog.isKnown(collection)) return
            delay(PEERS_LOOK_MS)
        }
    }

    private fun lacks(
        collection: Collection,
        newest: Long,
    ) = newest > catalog.latestRevision(collection) || (newest > 0 && !catalog.isKnown(collection))

    /** Number of VMs that would watch the store rather than this one. */
    private fun rank(): Int {
        val own = rankOf(self)
        return alivePeers().count { it.storeReachable && !it.stopping && rankOf(it.vmRecord.vm) < own }
    }

    private fun rankOf(vm: VmId) = ranks.getOrPut(vm) { stableHash("watch/$vm") }

    private suspend fun list(collection: Collection): StoreFault? {
        val outcome = call(StoreCall.ListAll(collection), LIST_TIMEOUT_MS)
        if (outcome.isErr) return outcome.error
        val listing = outcome.value as StoreAnswer.Listing
        val changes = catalog.applyListing(collection, listing)
        log.info { "collection listed: collection=$collection as_of=${listing.asOfRevision} changes=${changes.size}" }
        tell(collection, changes)
        return null
    }

    private suspend fun watch(collection: Collection): StoreFault? {
        val waitMs = if (isProof(collection)) PROOF_MS else WATCH_MS
        val call = StoreCall.Watch(collection, catalog.asOf(collection), waitMs)
        val outcome = call(call, waitMs + WATCH_MARGIN_MS)
        if (outcome.isErr) return outcome.error
        val answer = outcome.value as StoreAnswer.Changes
        applied(collection, answer.changes, answer.asOfRevision, tellPeers = true)
        if (answer.changes.isEmpty() || !isProof(collection)) delay(if (rank() == 0) GATHER_MS else SPARE_GATHER_MS)
        return null
    }

    private fun isProof(collection: Collection) = collection == catalog.collections.first()

    private suspend fun recover(
        collection: Collection,
        fault: StoreFault,
    ) {
        val asOf = catalog.asOf(collection)
        log.warn { "store not followed: collection=$collection as_of=$asOf fault=${fault.message}" }
        var remaining: StoreFault? = fault
        while (remaining != null) {
            if (!remaining.asksForListing) {
                awayUntilMs = clock() + AWAY_MS
                delay(RETRY_MS)
            }
            if (!catalog.isKnown(collection) || rank() >= WATCHERS) return
            // A listing also shows what a watch that fell silent has missed.
            remaining = list(collection)
        }
        if (!fault.asksForListing && isProof(collection)) endWatches()
    }

    private fun applied(
        collection: Collection,
        changes: List<EntryChange>,
        completeTo: Long,
        tellPeers: Boolean,
    ) {
        val fresh = catalog.apply(collection, changes)
        catalog.completeUpTo(collection, completeTo)
        if (tellPeers) {
            tell(collection, fresh)
        } else if (fresh.isNotEmpty()) {
            onChanges(collection, fresh)
        }
    }

    private fun tell(
        collection: Collection,
        changes: List<EntryChange>,
    ) {
        if (changes.isEmpty()) return
        onChanges(collection, changes)
        broadcast(PeerMessage.CollectionChanges(collection, changes))
    }

    private companion object {
        /** Two, so that news still comes while one is being found dead. */
        const val WATCHERS = 2
        const val LOOK_EVERY_MS = 200L
        const val LIST_TIMEOUT_MS = 1_500L

        /**
         * A watch is answered when something changes, or after this. It bounds how long a watch that has gone silent
         * stays unnoticed; peers that hear more close the gap earlier.
         */
        const val WATCH_MS = 8_000L
        const val WATCH_MARGIN_MS = 1_000L

        /**
         * The first collection's watch is answered this often, which proves that the store serves this VM; silence
         * there hands the watching on to other VMs, within the 5 s that an unstable store adds to the bounds.
         */
        const val PROOF_MS = 2_500L
        const val RETRY_MS = 250L

        /**
         * Engines load in turns and VMs start together, so changes come in bursts; what follows one within this time
         * shares the next call. Bounds on what must be known are 2 s and more.
         */
        const val GATHER_MS = 150L

        /** The second watcher hears from the first; it is there for the case that the first one's watch is lost. */
        const val SPARE_GATHER_MS = 1_000L

        /** A peer that is there answers the first ping within a few round trips between availability zones. */
        const val FIRST_PULSES_MS = 150L

        /** Where all VMs start together, two list and the others have it from them; after this each lists itself. */
        const val PEERS_MS = 1_000L
        const val PEERS_LOOK_MS = 25L

        /** Several round trips; a peer that was asked may have gone. */
        const val ASK_AGAIN_MS = 250L

        /** Entries that lapsed during an outage are back within two seconds of its end. */
        const val AWAY_MS = 3_000L
    }
}
