/*
 * The data path's process: wires the slices together and runs them until it is told to stop.
 */
package io.guavashore.entry

import io.github.oshai.kotlinlogging.KotlinLogging
import io.guavashore.api.AttemptId
import io.guavashore.api.CounterSource
import io.guavashore.api.Incarnation
import io.guavashore.api.MonotonicClock
import io.guavashore.api.WallClock
import io.guavashore.api.systemMonotonicClock
import io.guavashore.api.systemWallClock
import io.guavashore.calls.HttpEngineClient
import io.guavashore.calls.HttpPlainClient
import io.guavashore.calls.SuspectGuard
import io.guavashore.calls.configureTargetConnections
import io.guavashore.metrics.Metrics
import io.guavashore.metrics.OperationsServer
import io.guavashore.process.ProcessResources
import io.guavashore.process.withProcessResources
import io.guavashore.samples.StepRegistry
import io.guavashore.settings.NodeSettings
import io.guavashore.usage.UsageLedger
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.atomic.AtomicLong

private val log = KotlinLogging.logger {}

/** One entry process. */
internal class Entry(
    private val settings: NodeSettings,
    private val clock: MonotonicClock = systemMonotonicClock,
    private val wallClock: WallClock = systemWallClock,
) {
    private val incarnation = Incarnation(wallClock())
    private val attempts = AtomicLong()
    private val metrics = Metrics()

    /** Runs until SIGTERM, then finishes the calls that are open and leaves. */
    suspend fun run() = withProcessResources(::configureTargetConnections) { serve(it) }

    private suspend fun serve(resources: ProcessResources) {
        val scope = resources.scope
        val guard = SuspectGuard(clock)
        lateinit var link: StewardLink
        val state = EntryState(settings.vm, environment(resources, guard) { link.wake() })
        val ledger = UsageLedger(CounterSource(settings.vm, incarnation), wallClock)
        link =
            StewardLink(
                settings.vm,
                incarnation,
                settings.entryStewards,
                state,
                guard,
                ledger,
                clock,
                resources.selector,
            )
        val gate = Gate(state)
        val services =
            EntryServices(
                gate = gate,
                state = state,
                metrics = metrics,
                clock = clock,
                wallClock = wallClock,
                ledger = ledger,
                plain = HttpPlainClient()::call,
                newAttemptId = ::newAttemptId,
                claims = RequestClaims(link::exchange, ::newAttemptId),
                reportSoon = link::wake,
            )
        val registry = StepRegistry(clock)
        val steps = StepRunner(registry, services, scope)
        val front = HttpFront(settings.entryListen, services, StepRoutes(services, registry, steps))
        val operations =
            OperationsServer(
                settings.entryOperations,
                metrics,
                { notReady(gate, state) },
                { status(state, front, registry) },
            )
        registerGauges(state, front, registry)
        operations.start()
        front.start()
        scope.launch { link.run() }
        scope.launch { housekeeping(state, steps) }
        log.info { "entry of ${settings.vm} in ${settings.zone} serves at ${settings.entryListen}" }
        resources.stop.await()
        gate.isShuttingDown = true
        finishCalls(front, registry)
        link.reportOnce()
        front.stop()
        operations.close()
        log.info { "stopped" }
    }

    private fun environment(
        resources: ProcessResources,
        guard: SuspectGuard,
        onWaiting: () -> Unit,
    ): PoolEnvironment {
        val engine = HttpEngineClient(resources.client, clock)
        return PoolEnvironment(
            zone = settings.zone,
            clock = clock,
            guard = guard,
            engine = engine::generate,
            isUp = engine::isUp,
            newAttemptId = ::newAttemptId,
            metrics = metrics,
            onWaiting = onWaiting,
        )
    }

    private suspend fun housekeeping(
        state: EntryState,
        steps: StepRunner,
    ) {
        while (true) {
            delay(HOUSEKEEPING_MS)
            state.refresh()
            steps.removeFinishedSteps()
        }
    }

    /** Calls run on; trainers turn elsewhere, since their routes are refused. The balancer sees /readyz fail first. */
    private suspend fun finishCalls(
        front: HttpFront,
        registry: StepRegistry,
    ) {
        log.info { "stopping: ${front.openCalls} calls to finish" }
        withTimeoutOrNull(settings.drainTimeoutMs) {
            delay(BALANCER_MS)
            while (front.openCalls > 0) delay(DRAIN_POLL_MS)
        }
        if (registry.keys().isNotEmpty()) log.info { "steps left to other entries: ${registry.keys().size}" }
    }

    private fun notReady(
        gate: Gate,
        state: EntryState,
    ): String? =
        when {
            gate.isShuttingDown -> "shutting down"
            !state.isConfigured() -> "no declaration is in force yet"
            else -> null
        }

    private fun status(
        state: EntryState,
        front: HttpFront,
        registry: StepRegistry,
    ): String =
        apiJson.encodeToString(
            EntryStatus(
                vm = settings.vm,
                zone = settings.zone,
                revisions = state.teams().associate { it.declaration.team to it.snapshot.revision },
                openCalls = front.openCalls,
                steps =
                    registry.keys().mapNotNull { key ->
                        registry.withStep(key) { it.status(clock(), wallClock()) }
                    },
                targets =
                    state.teams().flatMap { it.pools.values }.flatMap { it.dispatcher.targets() }.map {
                        TargetUse(it.target.id, it.target.stage, it.limit)
                    },
            ),
        )

    private fun registerGauges(
        state: EntryState,
        front: HttpFront,
        registry: StepRegistry,
    ) {
        metrics.gauge("calls.open") { front.openCalls.toDouble() }
        metrics.gauge("steps.owned") { registry.keys().size.toDouble() }
        metrics.gauge("sessions.keyed") { state.sessions.size.toDouble() }
        metrics.gauge("calls.waiting") {
            state.teams().sumOf { team -> team.pools.values.sumOf { it.dispatcher.waiting() } }.toDouble()
        }
    }

    private fun newAttemptId() = AttemptId("${settings.vm}-${incarnation.value}-${attempts.incrementAndGet()}")

    private companion object {
        const val HOUSEKEEPING_MS = 250L
        const val DRAIN_POLL_MS = 50L
        const val BALANCER_MS = 1_000L
    }
}
