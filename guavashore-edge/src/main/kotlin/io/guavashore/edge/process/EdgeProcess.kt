/*
 * Wires the edge process: front end for callers, copy of the shared collections, peers and coordinator.
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
import io.guavashore.edge.cold.ColdNews
import io.guavashore.edge.cold.ColdTargets
import io.guavashore.edge.coordinator.Coordinator
import io.guavashore.edge.coordinator.SuspensionDetector
import io.guavashore.edge.coordinator.leaseStore
import io.guavashore.edge.duties.MedianClock
import io.guavashore.edge.duties.UsageCounters
import io.guavashore.edge.evacuation.EvacuationPeers
import io.guavashore.edge.evacuation.EvacuationTracking
import io.guavashore.edge.forward.ErrorResponder
import io.guavashore.edge.forward.Forwarder
import io.guavashore.edge.forward.FullServices
import io.guavashore.edge.forward.PeerRelay
import io.guavashore.edge.forward.RefusalContext
import io.guavashore.edge.forward.RelayWhileCutOff
import io.guavashore.edge.forward.ResponseObserver
import io.guavashore.edge.forward.TargetAccess
import io.guavashore.edge.forward.TargetChooser
import io.guavashore.edge.forward.TargetLoads
import io.guavashore.edge.forward.relayPeers
import io.guavashore.edge.front.Frontend
import io.guavashore.edge.limits.Fleet
import io.guavashore.edge.limits.LimitReceivers
import io.guavashore.edge.limits.PermitDecision
import io.guavashore.edge.limits.PermitRequest
import io.guavashore.edge.limits.RequestLimits
import io.guavashore.edge.limits.RequestPermits
import io.guavashore.edge.limits.TargetRateLimit
import io.guavashore.edge.limits.TargetRateLimits
import io.guavashore.edge.peers.Heartbeat
import io.guavashore.edge.peers.PeerCall
import io.guavashore.edge.peers.PeerEvents
import io.guavashore.edge.peers.PeerMesh
import io.guavashore.edge.peers.PeerMessage
import io.guavashore.edge.peers.PeerReply
import io.guavashore.edge.peers.RelayingStore
import io.guavashore.edge.peers.VmRecord
import io.guavashore.edge.streams.StreamTracking
import io.guavashore.edge.suspects.SUSPECT_REQUESTS
import io.guavashore.edge.suspects.SuspectPeers
import io.guavashore.edge.suspects.SuspectTracking
import io.guavashore.edge.suspects.TargetEvidence
import io.guavashore.edge.targets.ConnectionPool
import io.guavashore.edge.targets.EngineControl
import io.guavashore.edge.targets.ProcessCheck
import io.guavashore.edge.targets.ReceivedResponse
import io.guavashore.edge.targets.TargetConnectionPool
import io.guavashore.edge.targets.TargetDirectory
import io.guavashore.edge.targets.TargetReachability
import io.guavashore.edge.targets.probeBy
import io.guavashore.metrics.Metrics
import io.guavashore.net.CallerLimits
import io.guavashore.net.Dial
import io.guavashore.net.HttpDialer
import io.guavashore.net.HttpResponseMessage
import io.guavashore.net.HttpServer
import io.guavashore.net.ProcessLoop
import io.guavashore.platform.CollectionName
import io.guavashore.platform.EntryChange
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

private val log = KotlinLogging.logger {}

/** Edge process of one VM. */
class EdgeProcess(
    private val settings: EdgeSettings,
    private val ports: PlatformPorts,
    private val loop: ProcessLoop,
    dial: Dial = HttpDialer(loop)::connect,
    private val clock: MonotonicClock = systemMonotonicClock,
    private val wallClock: WallClock = systemWallClock,
) : PeerEvents {
    private val vmRecord =
        VmRecord(
            vm = settings.vm,
            incarnation = settings.incarnation,
            address = settings.peers.toString(),
            zone = settings.zone,
            capacity = settings.capacity,
            relay = settings.relay?.toString(),
        )
    private val metrics = Metrics()
    private val medianClock = MedianClock(wallClock, clock)
    private val usage = UsageCounters(settings.vm, settings.incarnation, settings.usageWindowMs, medianClock::nowMs)
    private val mesh = PeerMesh(vmRecord, loop, clock, this)
    private val store = RelayingStore(ports.store, ::storeRelays, mesh::call, clock, metrics)
    private val catalog =
        Catalog(
            listOfNotNull(
                SharedCollections.DECLARATION,
                SharedCollections.TARGETS,
                SharedCollections.PUBLISHED_VERSIONS,
                SharedCollections.VMS,
                SUSPECT_REQUESTS,
                settings.evacuationBoundMs?.let { SharedCollections.EVACUATIONS },
            ),
        )

    /** Null if zones can't be evacuated on this deployment. */
    private val evacuations: EvacuationTracking? =
        settings.evacuationBoundMs?.let {
            EvacuationTracking(
                EvacuationPeers(vmRecord.vm, mesh::alive, { store.isReachable }),
                catalog,
                zonesInUse = { connections.zonesInUse() },
                clock,
                metrics,
            )
        }
    private val directory: TargetDirectory =
        TargetDirectory(
            decode = ports.decodeTarget,
            clock = clock,
            storeRecentlyUnavailable = { sync.storeRecentlyUnavailable() },
            onFailure = { target ->
                coldTargets.onFailure(target)
                loop.scope.launch { reachability.verify() }
            },
            isEvacuated = { evacuations?.isEvacuated(it) ?: false },
        )
    private val sharedState = SharedState(ports, directory)
    private val sync: CatalogSync =
        CatalogSync(
            vmRecord.vm,
            catalog,
            store::call,
            mesh::alive,
            mesh::publish,
            ::onChanges,
            clock,
            store::endWatches,
        )
    private val connections =
        TargetConnectionPool(
            dial,
            ports.targets.metadata,
            onOpen = { metrics.count("target.connections", "reason" to it.name.lowercase()) },
            onResponse = ::onTargetResponse,
        )
    private val loads = TargetLoads()
    private val coldTargets: ColdTargets =
        ColdTargets(clock, directory::get) { sharedState.declaration?.services?.get(it) }
    private val rateLimits = TargetRateLimits(clock, coldTargets::startsPerS, directory::bornAtMs)
    private val permits =
        RequestPermits(
            scope = loop.scope,
            limits = rateLimits,
            askCoordinator = ::askForPermits,
            fleet =
                Fleet(
                    vmRecord.vm,
                    catalog::registeredVms,
                    ::mayIssuePermits,
                    { coordinator.holdsLease() },
                    medianClock::nowMs,
                ),
            clock = clock,
            wallClock = wallClock,
        )
    private val limits: RequestLimits =
        RequestLimits(
            rates = rateLimits,
            permits = permits,
            receivers =
                LimitReceivers(
                    sendToAll = { mesh.broadcast(PeerMessage.RateLimits(it)) },
                    alive = { mesh.alive().size },
                ),
            clock = clock,
            onChanged = { coordinatorTasks.onSharedStateChanged() },
        )
    private val batchStore = BatchStore(store::call, clock)
    private val coordinatorTasks: CoordinatorTasks =
        CoordinatorTasks(
            CoordinatorDependencies(
                ports,
                settings,
                batchStore,
                store::call,
                { store.isOut },
                TargetComponents(directory, connections, loads, EnginePace(), limits),
                sharedState,
                usage,
                evacuations?.view,
            ),
            clock,
            medianClock::nowMs,
            leaseGrant = { coordinator.leaseGrant() },
            replicateTexts = ::replicateTexts,
        )
    private val coordinator: Coordinator =
        Coordinator(
            vmRecord = vmRecord,
            scope = loop.scope,
            store = leaseStore(store::call, LEASE_TIMEOUT_MS),
            alivePeers = mesh::alive,
            clock = clock,
            suspensionDetector = SuspensionDetector(clock, wallClock),
            isStopping = { stopping },
            startTerm = coordinatorTasks::start,
            sendHeartbeats = mesh::pingAll,
            cutOffForMs = { reachability.cutOffForMs() },
            handOver = { coordinatorTasks.handOver() },
        )
    private val batchGateway = BatchGateway(batchStore, ::callCoordinator, clock)
    private val streams =
        StreamTracking(
            vmRecord = vmRecord,
            scope = loop.scope,
            directory = directory,
            vmCount = { mesh.alive().size + 1 },
            call = store::call,
            clock = clock,
            wallClock = medianClock::nowMs,
        )
    private val probe = probeBy(dial)
    private val reachability: TargetReachability =
        TargetReachability(loop.scope, directory::usable, probe, clock)
    private val suspects: SuspectTracking =
        SuspectTracking(
            scope = loop.scope,
            peers = SuspectPeers(vmRecord.vm, mesh::alive, mesh::call, mesh::pingAll, isStopping = { stopping }),
            // Requests wait here until this VM knows what it must not send, and where to.
            isKnown = { catalog.isKnown(SUSPECT_REQUESTS) && evacuations?.isKnown != false },
            evidence =
                TargetEvidence(
                    directory::get,
                    // Nothing is sent to an evacuated zone, so its targets can't be shown to have ended.
                    { directory.isEvacuated(it) || probe(it) },
                    { reachability.isCutOff },
                ),
            store = store::call,
            clock = clock,
            medianTimeMs = medianClock::nowMs,
        )
    private val relay =
        RelayWhileCutOff(
            reachability,
            PeerRelay(
                peers = { relayPeers(mesh.alive(), settings.zone) },
                connections = ConnectionPool(HttpDialer(loop)::connect),
                callers = ports.callers,
                targets = ports.targets,
                clock = clock,
            ),
        )
    private val processCheck =
        ProcessCheck(
            directory,
            EngineControl(connections, ports.targets)::reportOver,
            isLimited = { rateLimits.named(it) != null },
            awaitPermit = { permits.await(it, MAX_CHECK_WAIT_MS) },
        )
    private val forwarder =
        Forwarder(
            chooser =
                TargetChooser(settings.zone, directory, loads, permits, streams.lookup, streams.admitted, clock) {
                    metrics.record("target.load_age_ms", it.toDouble())
                },
            relay = relay,
            access = TargetAccess(directory, connections, loads, processCheck),
            targets = ports.targets,
            errorResponder = ErrorResponder(ports.callers, metrics),
            suspects = suspects,
            full =
                FullServices(
                    loads,
                    RefusalContext(
                        targetsOf = directory::usable,
                        priorityOf = { sharedState.declaration?.priorityByOrganisation?.get(it) ?: 0 },
                        vms = { catalog.entries(SharedCollections.VMS).size },
                    ),
                    clock,
                ),
            observer = ResponseObserver(usage::count, limits::onNoLimitNamed, streams.origins::record),
            clock = clock,
        )
    private val frontend =
        Frontend(
            { sharedState.declaration },
            ports.callers,
            forwarder,
            batchGateway,
            metrics,
            clock,
            medianClock::nowMs,
            stopsAtMs = { stopsAtMs },
        )
    private val callerLimits = { sharedState.declaration?.limits ?: CallerLimits() }
    private val server = HttpServer(loop, callerLimits) { frontend.handle(it) }
    private val relayServer = HttpServer(loop, callerLimits) { frontend.handle(it, isRelayed = true) }
    private val activeRequests get() = server.activeRequests + relayServer.activeRequests
    private var stopping = false

    /** Monotonic time by which all requests have to be answered; null unless the VM is stopping. */
    private var stopsAtMs: Long? = null

    /** Opens all sockets and starts all tasks. */
    suspend fun start() {
        log.info {
            "edge starting: vm=${vmRecord.vm} incarnation=${vmRecord.incarnation} zone=${vmRecord.zone} " +
                "callers=${settings.callers} max_heap_mb=${Runtime.getRuntime().maxMemory() / BYTES_PER_MB}"
        }
        mesh.listen(settings.peers)
        settings.knownPeers.forEach { mesh.addPeer(it.toString()) }
        settings.relay?.let { relayServer.listen(it) }
        server.listen(settings.callers)
        listenForOperators()
        catalog.collections.forEach { collection ->
            loop.scope.launchWithRestart("$collection") { sync.follow(collection) }
        }
        loop.scope.launchWithRestart("registration") {
            VmRegistration(vmRecord, SharedCollections.VMS, catalog, store::call).ensureRegistered()
        }
        loop.scope.launchWithRestart("coordinator") { coordinator.run() }
        loop.scope.launchWithRestart("stream origins") { streams.run() }
        loop.scope.launchWithRestart("runs") { suspects.runs.watch() }
        loop.scope.launchWithRestart("suspect records") {
            suspects.cleanStore({ coordinator.isActive }, { catalog.entries(SUSPECT_REQUESTS) })
        }
        evacuations?.let { loop.scope.launchWithRestart("evacuations") { it.watchContact() } }
        loop.scope.launchWithRestart("request limits") { limits.repeatToPeers { coordinator.isActive } }
    }

    /** Hands over the coordinator's tasks, stops accepting callers and waits for active requests; returns when done. */
    suspend fun stop() {
        log.info { "edge stopping: active_requests=$activeRequests coordinator=${coordinator.isActive}" }
        stopping = true
        val deadlineMs = clock() + settings.stopGraceMs - STOP_MARGIN_MS
        stopsAtMs = deadlineMs - RESPONSE_MARGIN_MS
        coordinatorTasks.handOver()
        coordinator.release()
        server.beginStop()
        relayServer.beginStop()
        mesh.pingAll()
        val removedAtMs = clock() + LOAD_BALANCER_DELAY_MS
        while (clock() < deadlineMs && (clock() < removedAtMs || activeRequests > 0)) {
            delay(STOP_POLL_INTERVAL_MS)
        }
        coordinator.stop()
        server.closeIdle()
        relayServer.closeIdle()
        log.info { "edge stopped: active_requests=$activeRequests" }
    }

    override fun heartbeat(receiver: VmId?) =
        Heartbeat(
            vmRecord = vmRecord,
            wallMs = wallClock(),
            newest = catalog.collections.associateWith { catalog.latestRevision(it) },
            leaseState = coordinator.leaseState(),
            usage =
                if (receiver == null || receiver in coordinator.usageReporters()) usage.ownCounts() else emptyList(),
            storeReachable = store.isReachable,
            reachesTargets = !reachability.isCutOff,
            stopping = stopping,
            rateLimits = limits.forHeartbeat(receiver),
            suspects = suspects.forHeartbeat(receiver),
            tracksSuspects = true,
            acceptsRepeated = true,
            busyEvacuatedZones = evacuations?.busyZones().orEmpty(),
            loads = loads.news(clock(), sharedState::hasPlainService),
        )

    override fun needsFastFailureDetection() = coordinator.holdsLease()

    override fun onHeartbeat(heartbeat: Heartbeat) {
        medianClock.onHeartbeat(heartbeat.vmRecord.vm, heartbeat.wallMs)
        usage.merge(heartbeat.vmRecord.vm, heartbeat.vmRecord.incarnation, heartbeat.usage)
        heartbeat.leaseState?.let(coordinator::onLeaseState)
        limits.onHeartbeat(heartbeat)
        suspects.onHeartbeat(heartbeat)
        loads.onNews(heartbeat.loads, clock())
        sync.changesToRequest(heartbeat).forEach { mesh.send(heartbeat.vmRecord.vm, it) }
    }

    override fun onCollectionChanges(changes: PeerMessage.CollectionChanges) = sync.onCollectionChanges(changes)

    override fun onChangesRequest(request: PeerMessage.ChangesRequest) = sync.onChangesRequest(request)

    override fun onPartialTexts(texts: PeerMessage.PartialTexts) = coordinatorTasks.storePartialTexts(texts.parts)

    override fun onTargetLeaving(leaving: PeerMessage.TargetLeaving) {
        if (directory.recordLeaving(leaving.target, leaving.bornAtMs)) coordinatorTasks.onSharedStateChanged()
    }

    override fun onTargetCold(news: ColdNews) {
        if (coldTargets.onNews(news)) coordinatorTasks.onSharedStateChanged()
    }

    override fun onRateLimits(limits: List<TargetRateLimit>) = this.limits.onPeerLimits(limits)

    private suspend fun askForPermits(requests: List<PermitRequest>): List<PermitDecision>? =
        (callCoordinator(PeerCall.Permits(requests), PERMITS_TIMEOUT_MS) as? PeerReply.Permits)?.decisions

    /** A coordinator that reaches most VMs would hear of a successor, so it may go on after its lease has expired. */
    private fun mayIssuePermits(): Boolean {
        if (!coordinator.isActive) return false
        return coordinator.holdsLease() || (mesh.alive().size + 1) * 2 > catalog.entries(SharedCollections.VMS).size
    }

    private fun onTargetResponse(
        target: TargetId,
        response: ReceivedResponse,
    ) {
        coldTargets.onResponse(target)?.let { mesh.broadcast(PeerMessage.TargetCold(it)) }
        limits.onResponse(target, response.metadata.rate)
        response.metadata.unreadableLoad?.let { loads.recordUnreadable(target, it) }
        if (!ports.targets.announcesLeaving(response.head)) return
        val bornAtMs = directory.bornAtMs(target)
        if (!directory.recordLeaving(target, bornAtMs)) return
        mesh.broadcast(PeerMessage.TargetLeaving(target, bornAtMs))
        coordinatorTasks.onSharedStateChanged()
    }

    private fun replicateTexts(
        replicator: TextReplicator,
        items: List<ItemState>,
    ) {
        val standbys = coordinator.standbys()
        replicator.retain(standbys.toSet())
        standbys.forEach { vm ->
            val parts = replicator.partsFor(vm, items)
            if (parts.isNotEmpty()) mesh.send(vm, PeerMessage.PartialTexts(parts))
        }
    }

    override suspend fun onCall(call: PeerCall): PeerReply =
        when (call) {
            is PeerCall.Store -> store.callForPeer(call)
            is PeerCall.BeginTrial -> suspects.onBeginTrial(call)
            is PeerCall.EndTrial -> suspects.onEndTrial(call)
            else -> coordinatorTasks.handleCall(call)
        }

    /** Calls the coordinator; null if it is unknown or does not reply within [timeoutMs]. */
    private suspend fun callCoordinator(
        call: PeerCall,
        timeoutMs: Long,
    ): PeerReply? {
        val holder = coordinator.current() ?: return PeerReply.NotHere
        return if (holder == vmRecord.vm) coordinatorTasks.handleCall(call) else mesh.call(holder, call, timeoutMs)
    }

    /** Peers that can execute store calls for this VM. */
    private fun storeRelays() =
        mesh
            .alive()
            .filter { it.storeReachable && !it.stopping }
            .map { it.vmRecord.vm }

    private fun onChanges(
        collection: CollectionName,
        changes: List<EntryChange>,
    ) {
        if (collection == SharedCollections.EVACUATIONS) evacuations?.apply(changes)
        sharedState.apply(collection, changes)
        if (collection == SharedCollections.VMS) changes.forEach(::applyVmChange)
        if (collection == SUSPECT_REQUESTS) suspects.onStoreChanges(changes)
        if (collection == SharedCollections.TARGETS) {
            val listed = changes.filterNot { it.deleted }.map { TargetId(it.entry.name) }
            listed.mapNotNull(directory::get).forEach(coldTargets::onEntry)
            val targets = directory.all().mapTo(HashSet()) { it.id }
            connections.retain(targets)
            streams.onTargetsChanged()
            suspects.runs.onTargetsChanged()
            rateLimits.retain(targets)
            coldTargets.retain(targets)
            loads.retain(targets)
            processCheck.retain(targets)
        }
        coordinatorTasks.onSharedStateChanged()
    }

    private fun applyVmChange(change: EntryChange) {
        val changed = readVmRecord(change.entry.content) ?: return
        if (change.deleted) mesh.removePeer(changed.address) else mesh.addPeer(changed.address)
    }

    /** Serves the health check and, if configured, the metrics. */
    private suspend fun listenForOperators() {
        HttpServer(loop, { CallerLimits() }) { exchange ->
            val ready = sharedState.declaration != null && !stopping
            exchange.respond(HttpResponseMessage(if (ready) OK else UNAVAILABLE))
        }.listen(settings.readiness)
        val address = settings.metrics ?: return
        metrics.gauge("peers.alive") { mesh.alive().size.toDouble() }
        metrics.gauge("peers.received.messages") { mesh.receivedMessages.toDouble() }
        metrics.gauge("peers.received.bytes") { mesh.receivedBytes.toDouble() }
        metrics.gauge("declaration.version") { sharedState.declaration?.version?.toDouble() ?: 0.0 }
        metrics.gauge("targets.cold") { coldTargets.count.toDouble() }
        HttpServer(loop, { CallerLimits() }) { exchange ->
            exchange.respond(HttpResponseMessage(OK, body = metrics.scrape().encodeToByteArray()))
        }.listen(address)
    }

    private companion object {
        const val OK = 200
        const val UNAVAILABLE = 503
        const val BYTES_PER_MB = 1_048_576

        /** Well below a third of the lease's duration, so that a timed-out renewal is repeated before expiry. */
        const val LEASE_TIMEOUT_MS = 500L

        /** Far above a round trip between regions; without a reply, this VM uses its turns. */
        const val PERMITS_TIMEOUT_MS = 300L

        /** A stream that could wait longer for the check of a cold target goes to another one. */
        const val MAX_CHECK_WAIT_MS = 100L

        /** The load balancer checks once a second and removes a VM after two failed checks. */
        const val LOAD_BALANCER_DELAY_MS = 2_600L

        /** Part of the grace period reserved for closing sockets. */
        const val STOP_MARGIN_MS = 700L

        /** Time in which the last responses reach their callers. */
        const val RESPONSE_MARGIN_MS = 150L
        const val STOP_POLL_INTERVAL_MS = 50L
    }
}

private fun Catalog.registeredVms(): List<VmId> =
    entries(SharedCollections.VMS).mapNotNull { readVmRecord(it.content)?.vm }

/**
 * Sends changes of a collection to the peers. VMs of earlier versions close the connection on changes of a collection
 * that they don't know, so the peers ask for those of later collections once a heartbeat shows that there are any.
 */
private fun PeerMesh.publish(message: PeerMessage) {
    val isLater = message is PeerMessage.CollectionChanges && message.collection in LATER_COLLECTIONS
    if (isLater) pingAll() else broadcast(message)
}

/** Collections that VMs of earlier versions don't know. */
private val LATER_COLLECTIONS = setOf(SUSPECT_REQUESTS, SharedCollections.EVACUATIONS)
