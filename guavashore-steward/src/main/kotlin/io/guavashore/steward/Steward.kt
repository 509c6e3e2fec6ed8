/*
 * The control path's process: wires the slices together and runs them until it is told to stop.
 */
package io.guavashore.steward

import arrow.fx.coroutines.resourceScope
import com.github.michaelbull.result.get
import io.github.oshai.kotlinlogging.KotlinLogging
import io.guavashore.api.Declaration
import io.guavashore.api.Incarnation
import io.guavashore.api.MonotonicClock
import io.guavashore.api.TeamSnapshot
import io.guavashore.api.VmId
import io.guavashore.api.WallClock
import io.guavashore.api.rendezvousRank
import io.guavashore.api.systemMonotonicClock
import io.guavashore.api.systemWallClock
import io.guavashore.configuration.AdoptedConfiguration
import io.guavashore.leases.HeldLease
import io.guavashore.leases.LeaseHolder
import io.guavashore.leases.LeaseKeeper
import io.guavashore.leases.LeaseMachine
import io.guavashore.membership.Fact
import io.guavashore.membership.FactTable
import io.guavashore.membership.FactVersion
import io.guavashore.membership.MemberHint
import io.guavashore.membership.MemberRecord
import io.guavashore.metrics.Metrics
import io.guavashore.metrics.OperationsServer
import io.guavashore.platform.HttpPlatform
import io.guavashore.platform.ObjectPath
import io.guavashore.platform.Platform
import io.guavashore.platform.VmRow
import io.guavashore.platform.VmState
import io.guavashore.settings.NodeSettings
import io.guavashore.usage.UsageMerge
import io.guavashore.usage.UsageReporter
import io.guavashore.usage.ZoneUsageWriter
import io.guavashore.wire.ControlMessage
import io.guavashore.wire.ControlServer
import io.guavashore.wire.FactKeys
import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json

private val log = KotlinLogging.logger {}

/** One steward process. */
internal class Steward(
    private val settings: NodeSettings,
    private val clock: MonotonicClock = systemMonotonicClock,
    private val wallClock: WallClock = systemWallClock,
) {
    private val incarnation = Incarnation(wallClock())
    private val metrics = Metrics()
    private val stop = CompletableDeferred<Unit>()
    private val stopped = CompletableDeferred<Unit>()
    private val merge = UsageMerge()
    private val adopted = AdoptedConfiguration()

    @Volatile
    private var pulseAtMs = clock()

    @Volatile
    private var vmRows: List<VmRow> = emptyList()

    private val facts = FactTable(::onFact)

    @Volatile
    private var zoneController: ZoneController? = null

    @Volatile
    private var coordinator: Coordinator? = null

    /** Runs until SIGTERM. */
    suspend fun run() =
        resourceScope {
            val scope = install({ CoroutineScope(SupervisorJob() + Dispatchers.Default) }) { it, _ -> it.cancel() }
            val selector = install({ SelectorManager(Dispatchers.IO) }) { it, _ -> it.close() }
            val client = install({ httpClient() }) { it, _ -> it.close() }
            Runtime.getRuntime().addShutdownHook(Thread(::stopAndWait))
            try {
                serve(scope, selector, client)
            } finally {
                stopped.complete(Unit)
            }
        }

    private suspend fun serve(
        scope: CoroutineScope,
        selector: SelectorManager,
        client: HttpClient,
    ) {
        val platform = HttpPlatform(client, settings.platformUrl).platform
        val peers = Peers(selector)
        val self =
            MemberRecord(
                settings.vm,
                settings.zone,
                settings.stewardControl,
                settings.stewardOperations,
                incarnation.value,
            )
        val membership = MembershipService(self, facts, peers, clock, scope)
        val zoneLease = keeper("leases/${settings.zone}", platform)
        val coordinatorLease = keeper("leases/${FactKeys.COORDINATOR}", platform)
        val desk = desk(membership, peers)
        membership.start(settings.stewardControl, selector)
        val server = ControlServer.bind(settings.stewardControl, selector) { handle(it, desk) }
        scope.launch { server.run() }
        val relay =
            ConfigurationRelay(
                settings.vm,
                settings.zone,
                incarnation,
                platform.store,
                facts,
                clock,
            ) { liveInZone(membership) }
        scope.launch { relay.run() }
        scope.launch { keepHints(platform, membership, peers) }
        scope.launch { zoneLease.run() }
        scope.launch { coordinatorLease.run() }
        scope.launch { runZone(zoneLease, platform, HttpEngineControl(client).control, membership) }
        scope.launch { runCoordinator(coordinatorLease, platform) }
        val operations =
            OperationsServer(
                settings.stewardOperations,
                metrics,
                ::notReady,
            ) { status(membership, zoneLease, coordinatorLease) }
        registerGauges(membership)
        operations.start()
        log.info { "steward of ${settings.vm} in ${settings.zone} serves at ${settings.stewardControl}" }
        stop.await()
        membership.leave()
        operations.close()
        scope.coroutineContext.cancelChildren()
        server.close()
        log.info { "stopped" }
    }

    private fun keeper(
        path: String,
        platform: Platform,
    ): LeaseKeeper {
        val holder = LeaseHolder(settings.vm, incarnation)
        return LeaseKeeper(ObjectPath(path), LeaseMachine(holder), platform.store, clock)
    }

    private fun desk(
        membership: MembershipService,
        peers: Peers,
    ): EntryDesk {
        val view =
            DeskView(
                self = settings.vm,
                zone = settings.zone,
                leaderOf = ::leaderOf,
                find = membership::find,
                backup = { backupOf(membership) },
                entries = ::listedEntries,
                isolated = { clock() - pulseAtMs > ISOLATED_AFTER_MS },
                handleShare = ::handleShare,
            )
        return EntryDesk(view, facts, merge, peers, clock)
    }

    private suspend fun handle(
        message: ControlMessage,
        desk: EntryDesk,
    ): ControlMessage =
        when (message) {
            is ControlMessage.EntryReport -> desk.answer(message)
            is ControlMessage.FetchFacts -> ControlMessage.FactsReply(message.keys.mapNotNull { facts[it] })
            is ControlMessage.ShareRequest -> handleShare(message)
            else -> ControlMessage.Rejected("a steward does not take ${message::class.simpleName}")
        }

    private fun handleShare(request: ControlMessage.ShareRequest): ControlMessage.ShareReply {
        merge.merge(request.usage)
        val shares = zoneController?.report(request).orEmpty() + coordinator?.report(request).orEmpty()
        return ControlMessage.ShareReply(shares)
    }

    /**
     * Runs the zone's duties under its lease. Shares of slots go on when the lease lapses, since in an outage of the store
     * nobody else can take it; they end when a higher fencing number is heard of.
     */
    private suspend fun runZone(
        lease: LeaseKeeper,
        platform: Platform,
        engines: EngineControl,
        membership: MembershipService,
    ) {
        val usage = ZoneUsageWriter(settings.zone, merge, platform.store, wallClock)
        val view = ZoneView(::declarations, ::listedEntries) { liveInZoneSet(membership) }
        var current: HeldLease? = null
        var usageAtMs = clock()
        while (true) {
            val held = lease.held()
            if (held != null && held.fencingNumber != current?.fencingNumber) {
                zoneController =
                    ZoneController(settings.zone, lease, held.fencingNumber, platform, engines, facts, view, clock)
                announce(settings.zone.value, held)
                current = held
            }
            if (current != null && isSucceeded(settings.zone.value, current)) {
                zoneController = null
                current = null
            }
            if (held != null) {
                guarded("zone") { zoneController?.step() }
                if (clock() - usageAtMs >= USAGE_EVERY_MS) {
                    usageAtMs = clock()
                    guarded("usage") { usage.write() }
                }
            }
            delay(STEP_MS)
        }
    }

    private suspend fun runCoordinator(
        lease: LeaseKeeper,
        platform: Platform,
    ) {
        val reporter = UsageReporter(platform.store, platform.sendUsage, lease::held, wallClock, clock)
        var current: HeldLease? = null
        while (true) {
            val held = lease.held()
            if (held == null) {
                coordinator = null
                current = null
            } else if (held.fencingNumber != current?.fencingNumber) {
                coordinator =
                    Coordinator(held.fencingNumber, platform, reporter, facts, ::declarations, ::listedEntries, clock)
                announce(FactKeys.COORDINATOR, held)
                current = held
            }
            guarded("coordinator") { coordinator?.step() }
            delay(STEP_MS)
        }
    }

    private suspend fun guarded(
        duty: String,
        block: suspend () -> Unit,
    ) {
        try {
            block()
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            metrics.count("duty.failed", "duty" to duty)
            log.warn(e) { "a round of the $duty's duties failed" }
        }
    }

    private fun announce(
        duty: String,
        lease: HeldLease,
    ) {
        val version = FactVersion(FactKeys.leader(duty), lease.fencingNumber.value, sequence = 0)
        facts.offer(Fact(version, settings.vm.value))
    }

    private fun isSucceeded(
        duty: String,
        lease: HeldLease,
    ): Boolean = (facts[FactKeys.leader(duty)]?.version?.term ?: 0) > lease.fencingNumber.value

    private fun leaderOf(duty: String): VmId? = facts[FactKeys.leader(duty)]?.content?.let(::VmId)

    private fun declarations(): List<Declaration> = adopted.all().map { it.declaration }

    /** VMs whose entries may claim shares, by the platform's list. */
    private fun listedEntries(): List<VmId> = vmRows.filter { it.state == VmState.LIVE }.map { it.vm }.sorted()

    private fun liveInZone(membership: MembershipService): List<VmId> =
        membership.live().filter { it.zone == settings.zone }.map { it.vm }

    /** Entries that must confirm a drain: those of all zones, since all may send work here. */
    private fun liveInZoneSet(membership: MembershipService): Set<VmId> = membership.live().map { it.vm }.toSet()

    private fun backupOf(membership: MembershipService): VmId? {
        val leader = leaderOf(settings.zone.value)
        return rendezvousRank("usage/${settings.zone}", liveInZone(membership)).firstOrNull { it != leader }
    }

    private suspend fun keepHints(
        platform: Platform,
        membership: MembershipService,
        peers: Peers,
    ) {
        membership.hint(settings.entryStewards.map { MemberHint(VmId("at-$it"), settings.zone, it) })
        while (vmRows.isEmpty()) {
            platform.listVms().get()?.let { vmRows = it }
            delay(HINT_EVERY_MS)
        }
        while (true) {
            membership.hint(vmRows.map { MemberHint(it.vm, it.zone, it.control) })
            peers.retain(membership.live().map { it.control }.toSet())
            delay(HINT_EVERY_MS)
        }
    }

    private fun onFact(fact: Fact) {
        val key = fact.version.key
        when {
            key.startsWith(FactKeys.PULSE) -> pulseAtMs = clock()
            key.startsWith(FactKeys.CONFIGURATION) -> adopted.offer(Json.decodeFromString<TeamSnapshot>(fact.content))
            key == FactKeys.VMS -> vmRows = Json.decodeFromString(fact.content)
        }
    }

    private fun notReady(): String? = if (adopted.all().isEmpty()) "no declaration is in force yet" else null

    private fun status(
        membership: MembershipService,
        zone: LeaseKeeper,
        coordinator: LeaseKeeper,
    ): String =
        Json.encodeToString(
            StewardStatus(
                vm = settings.vm,
                zone = settings.zone,
                revisions = adopted.status(),
                members = membership.live().map { MemberStatus(it.vm, it.zone, it.operations, it.state) },
                zoneLease = zone.held()?.fencingNumber,
                coordinatorLease = coordinator.held()?.fencingNumber,
                controlBytes = membership.bytes.get(),
            ),
        )

    private fun registerGauges(membership: MembershipService) {
        metrics.gauge("members.live") { membership.live().size.toDouble() }
        metrics.gauge("membership.bytes") { membership.bytes.get().toDouble() }
        metrics.gauge("facts.known") { facts.versions().size.toDouble() }
        metrics.gauge("zone.leader") { if (zoneController == null) 0.0 else 1.0 }
        metrics.gauge("coordinator.leader") { if (coordinator == null) 0.0 else 1.0 }
    }

    private fun httpClient() =
        HttpClient(CIO) {
            expectSuccess = false
            followRedirects = false
            engine { requestTimeout = 0 }
        }

    private fun stopAndWait() {
        stop.complete(Unit)
        runBlocking { stopped.await() }
    }

    private companion object {
        const val STEP_MS = 500L
        const val USAGE_EVERY_MS = 3_000L
        const val HINT_EVERY_MS = 2_000L
        const val ISOLATED_AFTER_MS = 20_000L
    }
}
