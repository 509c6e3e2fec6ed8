/*
 * Wires the edge: entrance for callers, copy of the shared collections, peers, and the coordinator's work.
 */
package io.guavashore.edge.process

import io.github.oshai.kotlinlogging.KotlinLogging
import io.guavashore.api.MonotonicClock
import io.guavashore.api.TargetId
import io.guavashore.api.VmId
import io.guavashore.api.WallClock
import io.guavashore.api.systemMonotonicClock
import io.guavashore.api.systemWallClock
import io.guavashore.edge.batches.BatchGateway
import io.guavashore.edge.batches.BatchStore
import io.guavashore.edge.batches.EnginePace
import io.guavashore.edge.batches.ItemState
import io.guavashore.edge.batches.TextReplicator
import io.guavashore.edge.catalog.Catalog
import io.guavashore.edge.catalog.CatalogSync
import io.guavashore.edge.catalog.VmRegistration
import io.guavashore.edge.catalog.readVmRecord
import io.guavashore.edge.coordinator.Coordinator
import io.guavashore.edge.coordinator.SuspensionGuard
import io.guavashore.edge.coordinator.leaseObjects
import io.guavashore.edge.duties.TrueTime
import io.guavashore.edge.duties.UsageBook
import io.guavashore.edge.forward.ErrorResponder
import io.guavashore.edge.forward.Forwarder
import io.guavashore.edge.forward.PoisonList
import io.guavashore.edge.forward.TargetLoads
import io.guavashore.edge.front.Frontend
import io.guavashore.edge.peers.PeerCall
import io.guavashore.edge.peers.PeerEvents
import io.guavashore.edge.peers.PeerMesh
import io.guavashore.edge.peers.PeerMessage
import io.guavashore.edge.peers.PeerReply
import io.guavashore.edge.peers.Heartbeat
import io.guavashore.edge.peers.RelayingStore
import io.guavashore.edge.peers.VmRecord
import io.guavashore.edge.targets.TargetConnectionPool
import io.guavashore.edge.targets.TargetDirectory
import io.guavashore.metrics.Metrics
import io.guavashore.net.ResponseHead
import io.guavashore.net.CallerLimits
import io.guavashore.net.HttpResponseMessage
import io.guavashore.net.HttpDialer
import io.guavashore.net.HttpServer
import io.guavashore.net.ProcessLoop
import io.guavashore.platform.Collection
import io.guavashore.platform.EntryChange
import kotlinx.coroutines.delay

private val log = KotlinLogging.logger {}

/** One edge process. */
class EdgeProcess(
    private val settings: EdgeSettings,
    private val ports: PlatformPorts,
    private val loop: ProcessLoop,
    private val clock: MonotonicClock = systemMonotonicClock,
    private val wallClock: WallClock = systemWallClock,
) : PeerEvents {
    private val vmRecord =
        VmRecord(settings.vm, settings.incarnation, settings.peers.toString(), settings.zone, settings.capacity)
    private val metrics = Metrics()
    private val trueTime = TrueTime(wallClock, clock)
    private val usage = UsageBook(settings.vm, settings.incarnation, settings.usageWindowMs, trueTime::nowMs)
    private val mesh = PeerMesh(vmRecord, loop, clock, this)
    private val store = RelayingStore(ports.store, ::helpers, mesh::call, clock, metrics)
    private val catalog =
        Catalog(
            listOf(
                SharedCollections.DECLARATION,
                SharedCollections.TARGETS,
                SharedCollections.PUBLISHED_VERSIONS,
                SharedCollections.VMS,
            ),
        )
    private val directory: TargetDirectory = TargetDirectory(ports.decodeTarget, clock) { sync.storeRecentlyUnavailable() }
    private val beliefs = Beliefs(ports, directory)
    private val sync: CatalogSync =
        CatalogSync(vmRecord.vm, catalog, store::call, mesh::alive, mesh::broadcast, ::onChanges, clock, store::endWatches)
    private val connections = TargetConnectionPool(HttpDialer(loop), onResponseHead = ::onResponseHead)
    private val loads = TargetLoads()
    private val batchStore = BatchStore(store::call, clock)
    private val work =
        CoordinatorWork(
            CoordinatorParts(
                ports,
                settings,
                batchStore,
                store::call,
                TargetParts(directory, connections, loads, EnginePace()),
                beliefs,
                usage,
            ),
            clock,
            trueTime::nowMs,
            right = { coordinator.right() },
            sendTexts = ::sendTexts,
        )
    private val coordinator: Coordinator =
        Coordinator(
            vmRecord = vmRecord,
            scope = loop.scope,
            store = leaseObjects(store::call, LEASE_TIMEOUT_MS),
            alivePeers = mesh::alive,
            clock = clock,
            guard = SuspensionGuard(clock, wallClock),
            isStopping = { stopping },
            beginTerm = work::begin,
            announce = mesh::pingAll,
        )
    private val batchGateway = BatchGateway(batchStore, ::askCoordinator, clock)
    private val forwarder =
        Forwarder(
            zone = settings.zone,
            directory = directory,
            connections = connections,
            loads = loads,
            targets = ports.targets,
            errorResponder = ErrorResponder(ports.callers, metrics),
            poison = PoisonList(clock),
            recordUsage = usage::count,
            clock = clock,
        )
    private val front =
        Frontend({ beliefs.declaration }, ports.callers, forwarder, batchGateway, metrics, clock, trueTime::nowMs)
    private val server = HttpServer(loop, { beliefs.declaration?.limits ?: CallerLimits() }, front::handle)
    private var stopping = false

    /** Opens all sockets and starts all work. */
    suspend fun start() {
        log.info {
            "edge starts: vm=${vmRecord.vm} incarnation=${vmRecord.incarnation} zone=${vmRecord.zone} callers=${settings.callers}"
        }
        mesh.listen(settings.peers)
        settings.knownPeers.forEach { mesh.meet(it.toString()) }
        server.listen(settings.callers)
        listenForOperations()
        catalog.collections.forEach { collection -> loop.scope.keepRunning("$collection") { sync.follow(collection) } }
        loop.scope.keepRunning("registration") {
            VmRegistration(vmRecord, SharedCollections.VMS, catalog, store::call).ensureRegistered()
        }
        loop.scope.keepRunning("coordinator") { coordinator.run() }
    }

    /** Stops taking callers, finishes what runs, and hands the coordinator's work on; returns when all is done. */
    suspend fun stop() {
        log.info { "edge stops: active_requests=${server.activeRequests} coordinator=${coordinator.isActive}" }
        stopping = true
        val deadlineMs = clock() + settings.stopGraceMs - STOP_MARGIN_MS
        work.handOver()
        coordinator.release()
        server.beginStop()
        mesh.pingAll()
        val leaveMs = clock() + BALANCER_MS
        while (clock() < deadlineMs && (clock() < leaveMs || server.activeRequests > 0)) delay(STOP_LOOK_EVERY_MS)
        coordinator.stop()
        server.closeIdle()
        log.info { "edge stopped: active_requests=${server.activeRequests}" }
    }

    override fun pulse(receiver: VmId?) =
        Heartbeat(
            vmRecord = vmRecord,
            wallMs = wallClock(),
            newest = catalog.collections.associateWith { catalog.latestRevision(it) },
            claim = coordinator.claim(),
            usage = if (receiver == null || receiver in coordinator.reporters()) usage.ownCounts() else emptyList(),
            storeReachable = store.isReachable,
            stopping = stopping,
        )

    override fun pingsOften() = coordinator.holdsLease()

    override fun onPulse(pulse: Heartbeat) {
        trueTime.onPulse(pulse.vmRecord.vm, pulse.wallMs)
        usage.merge(pulse.vmRecord.vm, pulse.vmRecord.incarnation, pulse.usage)
        pulse.claim?.let(coordinator::onClaim)
        sync.changesToRequest(pulse).forEach { mesh.send(pulse.vmRecord.vm, it) }
    }

    override fun onCollectionChanges(news: PeerMessage.CollectionChanges) = sync.onCollectionChanges(news)

    override fun onChangesRequest(wanted: PeerMessage.ChangesRequest) = sync.onChangesRequest(wanted)

    override fun onTexts(texts: PeerMessage.Texts) = work.keepTexts(texts.parts)

    override fun onTargetLeaves(leaves: PeerMessage.TargetLeaves) {
        if (directory.saysLeaving(leaves.target, leaves.bornAtMs)) work.onBeliefsChanged()
    }

    private fun onResponseHead(
        target: TargetId,
        head: ResponseHead,
    ) {
        if (!ports.targets.saysLeaving(head)) return
        val bornAtMs = directory.bornAtMs(target)
        if (!directory.saysLeaving(target, bornAtMs)) return
        mesh.broadcast(PeerMessage.TargetLeaves(target, bornAtMs))
        work.onBeliefsChanged()
    }

    private fun sendTexts(
        copies: TextReplicator,
        items: List<ItemState>,
    ) {
        val standbys = coordinator.standbys()
        copies.retain(standbys.toSet())
        standbys.forEach { vm ->
            val parts = copies.partsFor(vm, items)
            if (parts.isNotEmpty()) mesh.send(vm, PeerMessage.Texts(parts))
        }
    }

    override suspend fun onCall(call: PeerCall): PeerReply =
        if (call is PeerCall.Store) {
            val outcome = store.callDirect(call.call, call.timeoutMs)
            PeerReply.Store(
                answer = if (outcome.isOk) outcome.value else null,
                fault = if (outcome.isErr) outcome.error else null,
            )
        } else {
            work.answer(call)
        }

    private suspend fun askCoordinator(
        call: PeerCall,
        timeoutMs: Long,
    ): PeerReply? {
        val holder = coordinator.current() ?: return null
        return if (holder == vmRecord.vm) work.answer(call) else mesh.call(holder, call, timeoutMs)
    }

    private fun helpers() =
        mesh
            .alive()
            .filter { it.storeReachable && !it.stopping }
            .map { it.vmRecord.vm }

    private fun onChanges(
        collection: Collection,
        changes: List<EntryChange>,
    ) {
        beliefs.apply(collection, changes)
        if (collection == SharedCollections.VMS) changes.forEach(::meet)
        if (collection == SharedCollections.TARGETS) connections.retain(directory.all().mapTo(HashSet()) { it.id })
        work.onBeliefsChanged()
    }

    private fun meet(change: EntryChange) {
        val known = readVmRecord(change.entry.content) ?: return
        if (change.deleted) mesh.forget(known.address) else mesh.meet(known.address)
    }

    private suspend fun listenForOperations() {
        HttpServer(loop, { CallerLimits() }) { exchange ->
            val ready = beliefs.declaration != null && !stopping
            exchange.respond(HttpResponseMessage(if (ready) OK else UNAVAILABLE))
        }.listen(settings.readiness)
        val address = settings.metrics ?: return
        HttpServer(loop, { CallerLimits() }) { exchange ->
            exchange.respond(HttpResponseMessage(OK, body = metrics.scrape().encodeToByteArray()))
        }.listen(address)
    }

    private companion object {
        const val OK = 200
        const val UNAVAILABLE = 503

        /** Well below the third of a lease's term that its margin leaves. */
        const val LEASE_TIMEOUT_MS = 500L

        /** The balancer asks once a second and gives a VM up after two misses. */
        const val BALANCER_MS = 2_600L

        /** Left of the grace for closing sockets. */
        const val STOP_MARGIN_MS = 700L
        const val STOP_LOOK_EVERY_MS = 50L
    }
}
