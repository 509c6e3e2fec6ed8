/*
 * Process that serves callers and trainers: builds the parts of an entry and runs them until SIGTERM.
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

/** One entry process; [run] serves until SIGTERM. */
internal class Entry(
    private val settings: NodeSettings,
    private val clock: MonotonicClock = systemMonotonicClock,
    private val wallClock: WallClock = systemWallClock,
) {
    private val incarnation = Incarnation(wallClock())
    private val attempts = AtomicLong()
    private val metrics = Metrics()

    /** Serves until SIGTERM, then waits for open calls, at most the drain time-out, and returns. */
    suspend fun run() = withProcessResources { serve(it) }

    private suspend fun serve(resources: ProcessResources) {
        val scope = resources.scope
        val guard = SuspectGuard(clock)
        val engineClient = HttpEngineClient(clock)
        lateinit var stewardClient: StewardClient
        val state = EntryState(settings.vm, environment(engineClient, guard) { stewardClient.reportSoon() })
        val ledger = UsageLedger(CounterSource(settings.vm, incarnation), wallClock)
        stewardClient =
            StewardClient(
                settings.vm,
                incarnation,
                settings.entryStewards,
                state,
                guard,
                ledger,
                clock,
                resources.selector,
            )
        val admissionController = AdmissionController(state)
        val plainClient = HttpPlainClient()
        val services =
            EntryServices(
                admissionController = admissionController,
                state = state,
                metrics = metrics,
                clock = clock,
                wallClock = wallClock,
                ledger = ledger,
                callTarget = plainClient::call,
                newAttemptId = ::newAttemptId,
                idempotencyClaims = IdempotencyClaims(stewardClient::exchange, ::newAttemptId),
                reportSoon = stewardClient::reportSoon,
            )
        val registry = StepRegistry(clock)
        val stepRunner = StepRunner(registry, services, scope)
        val frontend = HttpFrontend(settings.entryListen, services, StepRoutes(services, registry, stepRunner))
        val operationsServer =
            OperationsServer(
                settings.entryOperations,
                metrics,
                { notReadyReason(admissionController, state) },
                { status(state, frontend, registry) },
            )
        registerGauges(state, frontend, registry)
        operationsServer.start()
        frontend.start()
        scope.launch { stewardClient.run() }
        scope.launch { runHousekeeping(state, stepRunner) }
        log.info { "entry started: vm=${settings.vm} zone=${settings.zone} address=${settings.entryListen}" }
        resources.stop.await()
        admissionController.isShuttingDown = true
        drainCalls(frontend, registry)
        stewardClient.reportOnce()
        frontend.stop()
        plainClient.close()
        engineClient.close()
        operationsServer.close()
        log.info { "entry stopped" }
    }

    private fun environment(
        engineClient: HttpEngineClient,
        guard: SuspectGuard,
        onWaiting: () -> Unit,
    ) = PoolEnvironment(
        zone = settings.zone,
        clock = clock,
        guard = guard,
        engine = engineClient::generate,
        isUp = engineClient::isUp,
        newAttemptId = ::newAttemptId,
        metrics = metrics,
        onWaiting = onWaiting,
    )

    private suspend fun runHousekeeping(
        state: EntryState,
        stepRunner: StepRunner,
    ) {
        while (true) {
            delay(HOUSEKEEPING_INTERVAL_MS)
            state.refresh()
            stepRunner.removeFinishedSteps()
        }
    }

    /**
     * Waits until open calls have ended. The load balancer first gets time to see `/readyz` fail. Trainers continue at
     * other entries, since their routes are refused here.
     */
    private suspend fun drainCalls(
        frontend: HttpFrontend,
        registry: StepRegistry,
    ) {
        log.info { "entry stopping, waiting for open calls: open=${frontend.openCalls}" }
        withTimeoutOrNull(settings.drainTimeoutMs) {
            delay(READINESS_PROPAGATION_MS)
            while (frontend.openCalls > 0) delay(DRAIN_POLL_INTERVAL_MS)
        }
        if (registry.keys().isNotEmpty()) log.info { "steps left to other entries: count=${registry.keys().size}" }
    }

    private fun notReadyReason(
        admissionController: AdmissionController,
        state: EntryState,
    ): String? =
        when {
            admissionController.isShuttingDown -> "shutting down"
            !state.isConfigured() -> "no declaration is in force yet"
            else -> null
        }

    private fun status(
        state: EntryState,
        frontend: HttpFrontend,
        registry: StepRegistry,
    ): String =
        apiJson.encodeToString(
            EntryStatus(
                vm = settings.vm,
                zone = settings.zone,
                revisions = state.teams().associate { it.declaration.team to it.snapshot.revision },
                openCalls = frontend.openCalls,
                steps =
                    registry.keys().mapNotNull { key ->
                        registry.withStep(key) { it.status(clock(), wallClock()) }
                    },
                targets =
                    state.teams().flatMap { it.pools.values }.flatMap { it.dispatcher.targets() }.map {
                        TargetLimit(it.target.id, it.target.stage, it.limit)
                    },
            ),
        )

    private fun registerGauges(
        state: EntryState,
        frontend: HttpFrontend,
        registry: StepRegistry,
    ) {
        metrics.gauge("calls.open") { frontend.openCalls.toDouble() }
        metrics.gauge("steps.owned") { registry.keys().size.toDouble() }
        metrics.gauge("sessions.keyed") { state.sessions.size.toDouble() }
        metrics.gauge("calls.waiting") {
            state.teams().sumOf { team -> team.pools.values.sumOf { it.dispatcher.waiting() } }.toDouble()
        }
    }

    private fun newAttemptId() = AttemptId("${settings.vm}-${incarnation.value}-${attempts.incrementAndGet()}")

    private companion object {
        const val HOUSEKEEPING_INTERVAL_MS = 250L
        const val DRAIN_POLL_INTERVAL_MS = 50L

        /** Time for the load balancer to notice that `/readyz` fails. */
        const val READINESS_PROPAGATION_MS = 1_000L
    }
}
