/*
 * The steward process of the control plane: creates the components, connects them and runs them until SIGTERM.
 */
package io.guavashore.steward

import com.github.michaelbull.result.get
import io.github.oshai.kotlinlogging.KotlinLogging
import io.guavashore.api.Incarnation
import io.guavashore.api.MonotonicClock
import io.guavashore.api.VmId
import io.guavashore.api.WallClock
import io.guavashore.api.rendezvousRank
import io.guavashore.api.systemMonotonicClock
import io.guavashore.api.systemWallClock
import io.guavashore.claims.ClaimStore
import io.guavashore.leases.LeaseHolder
import io.guavashore.leases.LeaseManager
import io.guavashore.leases.LeaseStateMachine
import io.guavashore.membership.MemberHint
import io.guavashore.membership.MemberRecord
import io.guavashore.metrics.Metrics
import io.guavashore.metrics.OperationsServer
import io.guavashore.platform.HttpPlatform
import io.guavashore.platform.ObjectPath
import io.guavashore.platform.Platform
import io.guavashore.process.ProcessResources
import io.guavashore.process.withProcessResources
import io.guavashore.settings.NodeSettings
import io.guavashore.usage.MergedUsage
import io.guavashore.wire.ControlMessage
import io.guavashore.wire.ControlServer
import io.guavashore.wire.FactKeys
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.json.Json

private val log = KotlinLogging.logger {}

/** One steward process, configured by [settings]. */
internal class Steward(
    private val settings: NodeSettings,
    private val clock: MonotonicClock = systemMonotonicClock,
    private val wallClock: WallClock = systemWallClock,
) {
    private val incarnation = Incarnation(wallClock())
    private val metrics = Metrics()
    private val mergedUsage = MergedUsage()
    private val state = StewardState(settings.vm)

    /** Runs until SIGTERM. */
    suspend fun run() = withProcessResources { serve(it) }

    private suspend fun serve(resources: ProcessResources) {
        val scope = resources.scope
        val platform = HttpPlatform(resources.client, settings.platformUrl).platform
        val engines = HttpEngineControl()
        val peerClients = PeerClients(resources.selector)
        val membership = MembershipService(selfRecord(), state.facts, peerClients, clock, scope)
        val leaderTasks =
            LeaderTasks(settings.zone, state, platform, mergedUsage, metrics, clock, wallClock) {
                membership.live().map { it.vm }.toSet()
            }
        val zoneLease = leaseManager(settings.zone.value, platform) { liveInZone(membership) }
        val coordinatorLease = leaseManager(FactKeys.COORDINATOR, platform) { membership.live().map { it.vm } }
        val relay =
            ConfigurationRelay(
                settings.vm,
                settings.zone,
                platform.store,
                state.facts,
                membership::recordPlatformResponse,
            ) {
                liveInZone(membership)
            }
        val reportHandler =
            EntryReportHandler(
                reportContext(membership, leaderTasks),
                state.facts,
                mergedUsage,
                peerClients,
                clock,
            )
        val claims = ClaimStore(platform.store, wallClock)
        membership.start(settings.stewardControl, resources.selector)
        val server =
            ControlServer.bind(
                settings.stewardControl,
                resources.selector,
            ) { handle(it, reportHandler, leaderTasks, claims) }
        scope.launch { server.run() }
        scope.launch { relay.run() }
        scope.launch { keepHintsCurrent(platform, membership, peerClients) }
        scope.launch { zoneLease.run() }
        scope.launch { coordinatorLease.run() }
        scope.launch { leaderTasks.runZone(zoneLease, engines.control) }
        scope.launch { leaderTasks.runCoordinator(coordinatorLease) }
        val operations =
            OperationsServer(settings.stewardOperations, metrics, ::notReady) {
                status(membership, zoneLease, coordinatorLease)
            }
        registerGauges(membership, leaderTasks)
        operations.start()
        log.info { "steward started: vm=${settings.vm} zone=${settings.zone} address=${settings.stewardControl}" }
        resources.stop.await()
        membership.leave()
        operations.close()
        scope.coroutineContext.cancelChildren()
        server.close()
        engines.close()
        log.info { "steward stopped" }
    }

    private fun selfRecord() =
        MemberRecord(
            vm = settings.vm,
            zone = settings.zone,
            control = settings.stewardControl,
            operations = settings.stewardOperations,
            incarnation = incarnation.value,
        )

    private fun leaseManager(
        role: String,
        platform: Platform,
        members: () -> List<VmId>,
    ): LeaseManager =
        LeaseManager(
            path = ObjectPath("leases/$role"),
            machine = LeaseStateMachine(LeaseHolder(settings.vm, incarnation)),
            store = platform.store,
            clock = clock,
            isCandidate = { settings.vm in rendezvousRank("lease/$role", members()).take(CANDIDATES_PER_ROLE) },
        )

    private fun reportContext(
        membership: MembershipService,
        leaderTasks: LeaderTasks,
    ) = EntryReportContext(
        self = settings.vm,
        zone = settings.zone,
        leaderOf = state::leaderOf,
        findMember = membership::find,
        usageBackup = { usageBackup(membership) },
        listedEntries = state::listedEntries,
        isIsolated = membership::isIsolated,
        handleShareRequest = leaderTasks::handleShareRequest,
    )

    private suspend fun handle(
        message: ControlMessage,
        reportHandler: EntryReportHandler,
        leaderTasks: LeaderTasks,
        claims: ClaimStore,
    ): ControlMessage =
        when (message) {
            is ControlMessage.EntryReport -> reportHandler.handle(message)
            is ControlMessage.FetchFacts -> ControlMessage.FactsReply(message.keys.mapNotNull { state.facts[it] })
            is ControlMessage.ShareRequest -> leaderTasks.handleShareRequest(message)
            is ControlMessage.ClaimRequest -> ControlMessage.ClaimReply(claims.claim(message.key, message.attempt))
            is ControlMessage.ClaimEnd -> endClaim(message, claims)
            else -> ControlMessage.Rejected("a steward does not handle ${message::class.simpleName}")
        }

    private suspend fun endClaim(
        message: ControlMessage.ClaimEnd,
        claims: ClaimStore,
    ): ControlMessage {
        val response = message.response
        if (response ==
            null
        ) {
            claims.release(message.key, message.attempt)
        } else {
            claims.finish(message.key, message.attempt, response)
        }
        return ControlMessage.Done
    }

    private fun liveInZone(membership: MembershipService): List<VmId> =
        membership.live().filter { it.zone == settings.zone }.map { it.vm }

    /** Steward that keeps a second copy of the zone's usage; null if only the zone's leader is live. */
    private fun usageBackup(membership: MembershipService): VmId? {
        val leader = state.leaderOf(settings.zone.value)
        return rendezvousRank("usage/${settings.zone}", liveInZone(membership)).firstOrNull { it != leader }
    }

    /** Updates the endpoints that the membership contacts: first those of the settings, later the listed VMs. */
    private suspend fun keepHintsCurrent(
        platform: Platform,
        membership: MembershipService,
        peerClients: PeerClients,
    ) {
        membership.replaceHints(settings.entryStewards.map { MemberHint(VmId("at-$it"), settings.zone, it) })
        while (state.vmRows.isEmpty()) {
            platform.listVms().get()?.let { state.vmRows = it }
            delay(HINT_INTERVAL_MS)
        }
        while (true) {
            membership.replaceHints(state.vmRows.map { MemberHint(it.vm, it.zone, it.control) })
            peerClients.closeAllExcept(membership.live().map { it.control }.toSet())
            delay(HINT_INTERVAL_MS)
        }
    }

    private fun notReady(): String? = if (state.declarations().isEmpty()) "no declaration is in force yet" else null

    private fun status(
        membership: MembershipService,
        zone: LeaseManager,
        coordinator: LeaseManager,
    ): String =
        Json.encodeToString(
            StewardStatus(
                vm = settings.vm,
                zone = settings.zone,
                revisions = state.adopted.status(),
                members = membership.live().map { MemberStatus(it.vm, it.zone, it.operations, it.state) },
                zoneLease = zone.held()?.fencingNumber,
                coordinatorLease = coordinator.held()?.fencingNumber,
                controlBytes = membership.trafficBytes.get(),
            ),
        )

    private fun registerGauges(
        membership: MembershipService,
        leaderTasks: LeaderTasks,
    ) {
        metrics.gauge("members.live") { membership.live().size.toDouble() }
        metrics.gauge("membership.bytes") { membership.trafficBytes.get().toDouble() }
        metrics.gauge("facts.known") {
            state.facts
                .versions()
                .size
                .toDouble()
        }
        metrics.gauge("zone.leader") { if (leaderTasks.isZoneLeader) 1.0 else 0.0 }
        metrics.gauge("coordinator.leader") { if (leaderTasks.isCoordinator) 1.0 else 0.0 }
    }

    private companion object {
        const val HINT_INTERVAL_MS = 2_000L
        const val CANDIDATES_PER_ROLE = 3
    }
}
