/*
 * Keeps the [Catalog] up to date, from the store and from peers.
 *
 * Calls to the store are charged, so only two VMs watch it and publish changes to the others. A VM that learns from a
 * peer's heartbeat that it lacks changes requests them from that peer. A VM that has no peers, or whose watching peers
 * have failed, watches the store itself. A VM that starts while others run gets the collections from them, since
 * dozens of VMs may be restarted together.
 */
package io.guavashore.edge.catalog

import io.github.oshai.kotlinlogging.KotlinLogging
import io.guavashore.api.MonotonicClock
import io.guavashore.api.VmId
import io.guavashore.api.stableHash
import io.guavashore.edge.peers.Heartbeat
import io.guavashore.edge.peers.PeerMessage
import io.guavashore.platform.CallStore
import io.guavashore.platform.CollectionName
import io.guavashore.platform.EntryChange
import io.guavashore.platform.StoreCall
import io.guavashore.platform.StoreCallError
import io.guavashore.platform.StoreResponse
import kotlinx.coroutines.delay

private val log = KotlinLogging.logger {}

/** Called with changes after they have been applied. */
typealias OnChanges = (collection: CollectionName, changes: List<EntryChange>) -> Unit

/** Sends a message to all peers that are alive. */
typealias Broadcast = (PeerMessage) -> Unit

/** Ends this VM's open watches of the store; the collections are then listed. */
typealias EndWatches = () -> Unit

/** Synchronisation of one VM's catalog. */
class CatalogSync(
    private val ownVm: VmId,
    private val catalog: Catalog,
    private val call: CallStore,
    private val alivePeers: () -> List<Heartbeat>,
    private val broadcast: Broadcast,
    private val onChanges: OnChanges,
    private val clock: MonotonicClock,
    private val endWatches: EndWatches,
) {
    private var unavailableUntilMs = 0L

    /** Cache of the hashes that order VMs for watching; looked up for every peer several times a second. */
    private val watchHashes = HashMap<VmId, Long>()

    /** Peers for which [rank] was last computed, and its result. */
    private var rankedPeers: List<Heartbeat>? = null
    private var lastRank = 0

    /** True while the store is unavailable and shortly afterwards, when live targets may lack an entry. */
    fun storeRecentlyUnavailable(): Boolean = clock() < unavailableUntilMs

    /** Earliest time of the next request to a peer for changes of each collection. */
    private val nextRequestAtMs = HashMap<CollectionName, Long>()

    /** Keeps [collection] up to date until cancelled. */
    suspend fun follow(collection: CollectionName) {
        awaitPeerUpdate(collection)
        while (true) {
            if (catalog.isKnown(collection) && rank() >= WATCHER_COUNT) {
                delay(POLL_INTERVAL_MS)
                continue
            }
            val fault = if (catalog.isKnown(collection)) watch(collection) else list(collection)
            if (fault != null) recover(collection, fault)
        }
    }

    fun onCollectionChanges(message: PeerMessage.CollectionChanges) =
        applyChanges(message.collection, message.changes, message.completeTo, publishToPeers = false)

    fun onChangesRequest(request: PeerMessage.ChangesRequest) =
        PeerMessage.CollectionChanges(
            collection = request.collection,
            changes = catalog.changesAfter(request.collection, request.afterRevision),
            completeTo = catalog.asOf(request.collection),
        )

    /** Requests to send to the sender of [heartbeat]. A collection is requested from only one peer at a time. */
    fun changesToRequest(heartbeat: Heartbeat): List<PeerMessage.ChangesRequest> {
        val now = clock()
        return heartbeat.newest
            .filter { (collection, newest) -> collection in catalog.collections && lacksChanges(collection, newest) }
            .filter { (collection, _) -> now >= (nextRequestAtMs[collection] ?: now) }
            .map { (collection, _) ->
                nextRequestAtMs[collection] = now + PEER_REQUEST_INTERVAL_MS
                PeerMessage.ChangesRequest(collection, catalog.asOf(collection))
            }
    }

    /** Waits until the collection has been received from peers, or until this VM should list it. */
    private suspend fun awaitPeerUpdate(collection: CollectionName) {
        repeat((PEER_WAIT_MS / PEER_POLL_INTERVAL_MS).toInt()) { pollCount ->
            val mayList = pollCount * PEER_POLL_INTERVAL_MS >= FIRST_HEARTBEATS_MS && rank() < WATCHER_COUNT
            if (mayList || catalog.isKnown(collection)) return
            delay(PEER_POLL_INTERVAL_MS)
        }
    }

    private fun lacksChanges(
        collection: CollectionName,
        newest: Long,
    ) = newest > catalog.latestRevision(collection) || (newest > 0 && !catalog.isKnown(collection))

    /** Number of VMs that take precedence over this one in watching the store. */
    private fun rank(): Int {
        val peers = alivePeers()
        if (peers === rankedPeers) return lastRank
        val own = watchHash(ownVm)
        lastRank = peers.count { it.storeReachable && !it.stopping && watchHash(it.vmRecord.vm) < own }
        rankedPeers = peers
        return lastRank
    }

    private fun watchHash(vm: VmId) = watchHashes.getOrPut(vm) { stableHash("watch/$vm") }

    private suspend fun list(collection: CollectionName): StoreCallError? {
        val outcome = call(StoreCall.ListAll(collection), LIST_TIMEOUT_MS)
        if (outcome.isErr) return outcome.error
        val listing = outcome.value as StoreResponse.Listing
        val changes = catalog.applyListing(collection, listing)
        log.info { "collection listed: collection=$collection as_of=${listing.asOfRevision} changes=${changes.size}" }
        publish(collection, changes)
        return null
    }

    private suspend fun watch(collection: CollectionName): StoreCallError? {
        val waitMs = if (isProbe(collection)) PROBE_WATCH_MS else WATCH_TIMEOUT_MS
        val watchCall = StoreCall.Watch(collection, catalog.asOf(collection), waitMs)
        val outcome = call(watchCall, waitMs + WATCH_MARGIN_MS)
        if (outcome.isErr) return outcome.error
        val response = outcome.value as StoreResponse.Changes
        applyChanges(collection, response.changes, response.asOfRevision, publishToPeers = true)
        if (response.changes.isEmpty() || !isProbe(collection)) {
            delay(if (rank() == 0) COALESCE_MS else STANDBY_COALESCE_MS)
        }
        return null
    }

    private fun isProbe(collection: CollectionName) = collection == catalog.collections.first()

    private suspend fun recover(
        collection: CollectionName,
        fault: StoreCallError,
    ) {
        val asOf = catalog.asOf(collection)
        log.warn { "store synchronisation failed: collection=$collection as_of=$asOf fault=${fault.message}" }
        var remaining: StoreCallError? = fault
        while (remaining != null) {
            if (!remaining.requiresListing) {
                unavailableUntilMs = clock() + UNAVAILABLE_GRACE_MS
                delay(RETRY_INTERVAL_MS)
            }
            if (!catalog.isKnown(collection) || rank() >= WATCHER_COUNT) return
            // The listing also contains changes that a hung watch has missed.
            remaining = list(collection)
        }
        if (!fault.requiresListing && isProbe(collection)) endWatches()
    }

    private fun applyChanges(
        collection: CollectionName,
        changes: List<EntryChange>,
        completeTo: Long,
        publishToPeers: Boolean,
    ) {
        val newChanges = catalog.apply(collection, changes)
        catalog.completeUpTo(collection, completeTo)
        if (publishToPeers) {
            publish(collection, newChanges)
        } else if (newChanges.isNotEmpty()) {
            onChanges(collection, newChanges)
        }
    }

    private fun publish(
        collection: CollectionName,
        changes: List<EntryChange>,
    ) {
        if (changes.isEmpty()) return
        onChanges(collection, changes)
        broadcast(PeerMessage.CollectionChanges(collection, changes))
    }

    private companion object {
        /** Two, so that changes still arrive until the failure of one watcher is detected. */
        const val WATCHER_COUNT = 2
        const val POLL_INTERVAL_MS = 200L
        const val LIST_TIMEOUT_MS = 1_500L

        /**
         * The store answers a watch on the next change, or after this time. The time bounds how long a hung watch stays
         * undetected; peers that have received more changes close the gap earlier.
         */
        const val WATCH_TIMEOUT_MS = 8_000L
        const val WATCH_MARGIN_MS = 1_000L

        /**
         * Watch time of the first collection. Its responses show that the store serves this VM. If they stop, other VMs
         * take over the watches, within the 5 s by which an unstable store may extend the operators' time limits.
         */
        const val PROBE_WATCH_MS = 2_500L
        const val RETRY_INTERVAL_MS = 250L

        /**
         * Engines load weights in turns and VMs start together, so changes come in bursts. Changes within this time are
         * collected by one call. The operators' limits on the delay of a change are 2 s and more.
         */
        const val COALESCE_MS = 150L

        /** The second watcher gets changes from the first; it only covers the failure of the first one's watch. */
        const val STANDBY_COALESCE_MS = 1_000L

        /** A live peer answers the first ping within a few round trips between availability zones. */
        const val FIRST_HEARTBEATS_MS = 150L

        /** If all VMs start together, two list and send the result to the others; after this time each VM lists. */
        const val PEER_WAIT_MS = 1_000L
        const val PEER_POLL_INTERVAL_MS = 25L

        /** Several round trips; after this time another peer gets the request, as the first one may have failed. */
        const val PEER_REQUEST_INTERVAL_MS = 250L

        /** Entries that lapsed during an outage are renewed within two seconds after its end. */
        const val UNAVAILABLE_GRACE_MS = 3_000L
    }
}
