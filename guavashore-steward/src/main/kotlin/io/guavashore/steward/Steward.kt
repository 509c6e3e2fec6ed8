/*
 * The control path's process: wires the slices together and runs them until it is told to stop.
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
import io.guavashore.claims.ClaimKeeper
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
import io.guavashore.usage.UsageMerge
import io.guavashore.wire.ControlMessage
import io.guavashore.wire.ControlServer
import io.guavashore.wire.FactKeys
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
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
    private val merge = UsageMerge()
    private val state = StewardState(settings.vm)

    /** Runs until SIGTERM. */
    suspend fun run() = withProcessResources { serve(it) }

    private suspend fun serve(resources: ProcessResources) {
        val scope = resources.scope
        val platform = HttpPlatform(resources.client, settings.platformUrl).platform
        val peers = Peers(resources.selector)
        val membership = MembershipService(selfRecord(), state.facts, peers, clock, scope)
        val duties =
            Duties(settings.zone, state, platform, merge, metrics, clock, wallClock) {
                membership.live().map { it.vm }.toSet()
            }
        val zoneLease = keeper(settings.zone.value, platform) { liveInZone(membership) }
        val coordinatorLease = keeper(FactKeys.COORDINATOR, platform) { membership.live().map { it.vm } }
        val relay =
            ConfigurationRelay(settings.vm, settings.zone, platform.store, state.facts, membership::notePlatform) {
                liveInZone(membership)
            }
        val desk = EntryDesk(deskView(membership, duties), state.facts, merge, peers, clock)
        val claims = ClaimKeeper(platform.store, wallClock)
        membership.start(settings.stewardControl, resources.selector)
        val server =
            ControlServer.bind(
                settings.stewardControl,
                resources.selector,
            ) { handle(it, desk, duties, claims) }
        scope.launch { server.run() }
        scope.launch { relay.run() }
        scope.launch { keepHints(platform, membership, peers) }
        scope.launch { zoneLease.run() }
        scope.launch { coordinatorLease.run() }
        scope.launch { duties.runZone(zoneLease, HttpEngineControl(resources.client).control) }
        scope.launch { duties.runCoordinator(coordinatorLease) }
        val operations =
            OperationsServer(settings.stewardOperations, metrics, ::notReady) {
                status(membership, zoneLease, coordinatorLease)
            }
        registerGauges(membership, duties)
        operations.start()
        log.info { "steward of ${settings.vm} in ${settings.zone} serves at ${settings.stewardControl}" }
        resources.stop.await()
        membership.leave()
        operations.close()
        scope.coroutineContext.cancelChildren()
        server.close()
        log.info { "stopped" }
    }

    private fun selfRecord() =
        MemberRecord(
            vm = settings.vm,
            zone = settings.zone,
            control = settings.stewardControl,
            operations = settings.stewardOperations,
            incarnation = incarnation.value,
        )

    private fun keeper(
        duty: String,
        platform: Platform,
        members: () -> List<VmId>,
    ): LeaseManager =
        LeaseManager(
            path = ObjectPath("leases/$duty"),
            machine = LeaseStateMachine(LeaseHolder(settings.vm, incarnation)),
            store = platform.store,
            clock = clock,
            isCandidate = { settings.vm in rendezvousRank("lease/$duty", members()).take(CANDIDATES_PER_DUTY) },
        )

    private fun deskView(
        membership: MembershipService,
        duties: Duties,
    ) = DeskView(
        self = settings.vm,
        zone = settings.zone,
        leaderOf = state::leaderOf,
        find = membership::find,
        backup = { backupOf(membership) },
        entries = state::listedEntries,
        isolated = membership::isIsolated,
        handleShare = duties::share,
    )

    private suspend fun handle(
        message: ControlMessage,
        desk: EntryDesk,
        duties: Duties,
        claims: ClaimKeeper,
    ): ControlMessage =
        when (message) {
            is ControlMessage.EntryReport -> desk.answer(message)
            is ControlMessage.FetchFacts -> ControlMessage.FactsReply(message.keys.mapNotNull { state.facts[it] })
            is ControlMessage.ShareRequest -> duties.share(message)
            is ControlMessage.ClaimRequest -> ControlMessage.ClaimReply(claims.claim(message.key, message.attempt))
            is ControlMessage.ClaimEnd -> end(message, claims)
            else -> ControlMessage.Rejected("a steward does not take ${message::class.simpleName}")
        }

    private suspend fun end(
        message: ControlMessage.ClaimEnd,
        claims: ClaimKeeper,
    ): ControlMessage {
        val answer = message.answer
        if (answer ==
            null
        ) {
            claims.release(message.key, message.attempt)
        } else {
            claims.finish(message.key, message.attempt, answer)
        }
        return ControlMessage.Done
    }

    private fun liveInZone(membership: MembershipService): List<VmId> =
        membership.live().filter { it.zone == settings.zone }.map { it.vm }

    /** Steward that keeps a second copy of the zone's usage. */
    private fun backupOf(membership: MembershipService): VmId? {
        val leader = state.leaderOf(settings.zone.value)
        return rendezvousRank("usage/${settings.zone}", liveInZone(membership)).firstOrNull { it != leader }
    }

    private suspend fun keepHints(
        platform: Platform,
        membership: MembershipService,
        peers: Peers,
    ) {
        membership.hint(settings.entryStewards.map { MemberHint(VmId("at-$it"), settings.zone, it) })
        while (state.vmRows.isEmpty()) {
            platform.listVms().get()?.let { state.vmRows = it }
            delay(HINT_EVERY_MS)
        }
        while (true) {
            membership.hint(state.vmRows.map { MemberHint(it.vm, it.zone, it.control) })
            peers.retain(membership.live().map { it.control }.toSet())
            delay(HINT_EVERY_MS)
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
                controlBytes = membership.bytes.get(),
            ),
        )

    private fun registerGauges(
        membership: MembershipService,
        duties: Duties,
    ) {
        metrics.gauge("members.live") { membership.live().size.toDouble() }
        metrics.gauge("membership.bytes") { membership.bytes.get().toDouble() }
        metrics.gauge("facts.known") {
            state.facts
                .versions()
                .size
                .toDouble()
        }
        metrics.gauge("zone.leader") { if (duties.leadsZone) 1.0 else 0.0 }
        metrics.gauge("coordinator.leader") { if (duties.coordinates) 1.0 else 0.0 }
    }

    private companion object {
        const val HINT_EVERY_MS = 2_000L
        const val CANDIDATES_PER_DUTY = 3
    }
}
