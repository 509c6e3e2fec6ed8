/*
 * Orders engines to load the versions that trainers publish, as decided by [planLoads].
 *
 * An order without a response may still take effect seconds later. Each order therefore states how many orders the
 * engine must have accepted so far; a late order finds a different count and is refused.
 */
package io.guavashore.edge.weights

import io.github.oshai.kotlinlogging.KotlinLogging
import io.guavashore.api.MonotonicClock
import io.guavashore.api.ServiceId
import io.guavashore.api.TargetId
import io.guavashore.edge.declared.EdgeDeclaration
import io.guavashore.edge.declared.ModelId
import io.guavashore.edge.declared.RouteKind
import io.guavashore.edge.declared.TargetEntry
import io.guavashore.edge.duties.LeaseGrant
import io.guavashore.edge.targets.EngineControl
import io.guavashore.edge.targets.EngineReport
import io.guavashore.edge.targets.TargetDirectory
import io.guavashore.edge.targets.WeightOrder
import io.guavashore.net.ExchangeFailure
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull

private val log = KotlinLogging.logger {}

/**
 * Version requirements of models.
 *
 * @property published newest version that the trainer of each model published
 * @property minAcceptedVersion oldest version that all open batches of a model accept; 0 if it has none
 */
class VersionRequirements(
    val published: () -> Map<ModelId, Long>,
    val minAcceptedVersion: (ModelId) -> Long,
)

/** Keeps the weights of all engines up to date; runs on the coordinator. Not thread-safe. */
class WeightUpdater(
    private val scope: CoroutineScope,
    private val declared: () -> EdgeDeclaration?,
    private val requirements: VersionRequirements,
    private val directory: TargetDirectory,
    private val control: EngineControl,
    private val runningOn: (TargetId) -> Int,
    private val leaseGrant: () -> LeaseGrant?,
    private val clock: MonotonicClock,
    private val onLoaded: () -> Unit,
    private val isLimited: (TargetId) -> Boolean = { false },
) {
    private val assigned = HashMap<TargetId, ModelId>()
    private val furtherModels = HashMap<TargetId, Set<ModelId>>()
    private val limits = HashMap<ServiceId, LoadConcurrencyLimit>()
    private val loading = HashSet<TargetId>()
    private val notBeforeMs = HashMap<TargetId, Long>()
    private val reports = HashMap<TargetId, EngineReport>()
    private val processStarts = HashMap<TargetId, Long?>()
    private var changed = CompletableDeferred<Unit>()

    /** True while [engine] accepts no requests because it loads weights. */
    fun isLoading(engine: TargetId): Boolean = engine in loading

    /** True if [engine] accepts requests for [model]; an engine without an assigned model accepts any. */
    fun serves(
        engine: TargetId,
        model: ModelId,
    ): Boolean = assigned[engine] == null || assigned[engine] == model || model in furtherModels[engine].orEmpty()

    /** Weight loads that the engines of [service] can complete per second. */
    fun loadsPerSecond(service: ServiceId): Double = limits.getOrPut(service) { LoadConcurrencyLimit() }.perSecond

    /** Updates engines until cancelled. */
    suspend fun run() {
        while (true) {
            declared()?.let { step(it) }
            withTimeoutOrNull(STEP_INTERVAL_MS) { changed.await() }
            changed = CompletableDeferred()
        }
    }

    /** Runs the next update immediately, for instance after a version was published. */
    fun wake() {
        changed.complete(Unit)
    }

    private fun step(declaration: EdgeDeclaration) {
        declaration.services.values.forEach { service ->
            val engine = service.engine ?: return@forEach
            step(service.id, engine.models, declaration)
        }
    }

    private fun step(
        service: ServiceId,
        models: List<ModelId>,
        declaration: EdgeDeclaration,
    ) {
        val entries = directory.usable(service)
        entries.forEach(::detectRestart)
        val versions =
            models.map { model ->
                val newest = requirements.published()[model] ?: FIRST_VERSION
                ModelVersions(
                    model,
                    newest,
                    required = maxOf(newest - ALLOWED_LAG, requirements.minAcceptedVersion(model)),
                )
            }
        val now = clock()
        val ready = assign(entries.map(::snapshot), versions).filter { now >= (notBeforeMs[it.id] ?: 0) }
        val config = WeightLoadConfig(maxConcurrentLoads = limits.getOrPut(service) { LoadConcurrencyLimit() }.current)
        planLoads(ready, versions, config).forEach { load(it, declaration) }
    }

    /** Updates the models that [engines] serve; returns the updated snapshots. */
    private fun assign(
        engines: List<EngineSnapshot>,
        versions: List<ModelVersions>,
    ): List<EngineSnapshot> {
        val assignment = assignModels(engines, versions, assigned)
        val withModel = engines.map { it.copy(model = assignment[it.id]) }
        val further = coverModels(withModel, versions)
        val updated = withModel.map { it.copy(furtherModels = further[it.id].orEmpty()) }
        updated.zip(engines).filter { (new, old) -> new.models != old.models }.forEach { (new, old) ->
            log.info { "engine assigned: engine=${new.id} models=${new.models} before=${old.models}" }
        }
        updated.forEach {
            if (it.model == null) assigned.remove(it.id) else assigned[it.id] = it.model
            furtherModels[it.id] = it.furtherModels
        }
        return updated
    }

    private fun snapshot(entry: TargetEntry) =
        EngineSnapshot(
            id = entry.id,
            model = assigned[entry.id],
            versions = directory.versions(entry),
            running = runningOn(entry.id),
            isLoading = isLoading(entry.id),
            held = entry.versions.keys.ifEmpty { null },
            furtherModels = furtherModels[entry.id].orEmpty(),
        )

    /** Discards the report of an engine that has restarted: its count of accepted orders is outdated. */
    private fun detectRestart(entry: TargetEntry) {
        if (entry.id in processStarts && processStarts[entry.id] != entry.bornAtMs) reports.remove(entry.id)
        processStarts[entry.id] = entry.bornAtMs
    }

    private fun load(
        decision: LoadDecision,
        declaration: EdgeDeclaration,
    ) {
        loading += decision.engine
        scope.launch {
            try {
                orderAndAwait(decision, declaration)
            } catch (e: ExchangeFailure) {
                log.warn { "no response to weight load order: engine=${decision.engine} cause=${e.message}" }
                reports.remove(decision.engine)
                notBeforeMs[decision.engine] = clock() + RETRY_DELAY_MS
            } finally {
                loading -= decision.engine
                onLoaded()
                wake()
            }
        }
    }

    private suspend fun orderAndAwait(
        decision: LoadDecision,
        declaration: EdgeDeclaration,
    ) {
        val entry = directory[decision.engine] ?: return
        val report = reports[entry.id] ?: fetchReport(entry) ?: return retryLater(entry.id, "no report from the engine")
        if (report.isBusy) return awaitLoaded(entry, decision)
        val grant = leaseGrant() ?: return retryLater(entry.id, "coordinator lease not held")
        val order =
            WeightOrder(
                model = decision.model,
                version = decision.version,
                keepRunning = declaration.routes.none { it.kind == RouteKind.BATCH && it.batch?.singleVersion == true },
                holder = grant.holder,
                fencingNumber = grant.fencingNumber,
                expectedOrders = report.ordersTaken,
            )
        val status = control.order(entry, order, grant.isHeld)
        log.info {
            "weight load ordered: engine=${entry.id} model=${order.model} version=${order.version} " +
                "status=$status expected_orders=${order.expectedOrders} fence=${order.fencingNumber} " +
                "running=${runningOn(entry.id)}"
        }
        when (status) {
            ACCEPTED -> awaitLoaded(entry, decision)
            ALREADY_LOADED -> {
                directory.recordVersion(entry.id, decision.model, decision.version)
                retryLater(entry.id, "version ${decision.version} is already loaded")
            }
            else -> {
                reports.remove(entry.id)
                retryLater(entry.id, "order not accepted, status $status")
            }
        }
    }

    private suspend fun awaitLoaded(
        entry: TargetEntry,
        decision: LoadDecision,
    ) {
        reports.remove(entry.id)
        val startedMs = clock()
        val deadlineMs = startedMs + LOAD_TIMEOUT_MS
        val concurrent = loading.size
        delay(EXPECTED_LOAD_MS)
        while (clock() < deadlineMs && directory[entry.id]?.let(directory::isEvacuated) == false) {
            val report = fetchReport(entry)
            if (report != null && !report.isBusy) {
                log.info {
                    "engine report after weight load: engine=${entry.id} versions=${report.versions} " +
                        "orders=${report.ordersTaken}"
                }
                limits[entry.service]?.onLoaded(clock() - startedMs, minOf(concurrent, loading.size))
                val version = report.versions[decision.model] ?: 0
                if (version < decision.version) retryLater(entry.id, "still at version $version after the load")
                return
            }
            delay(if (isLimited(entry.id)) LIMITED_REPORT_INTERVAL_MS else REPORT_INTERVAL_MS)
        }
        retryLater(entry.id, "completion of the load not observed")
    }

    private suspend fun fetchReport(entry: TargetEntry): EngineReport? {
        val report = control.report(entry) ?: return null
        report.versions.forEach { (model, version) -> directory.recordVersion(entry.id, model, version) }
        if (!report.isBusy) reports[entry.id] = report
        return report
    }

    private fun retryLater(
        engine: TargetId,
        reason: String,
    ) {
        log.info { "weight load rescheduled: engine=$engine reason=$reason" }
        notBeforeMs[engine] = clock() + RETRY_DELAY_MS
    }

    private companion object {
        const val ACCEPTED = 202
        const val ALREADY_LOADED = 200

        /** Version that engines hold when they start. */
        const val FIRST_VERSION = 1L

        /** A future batch also accepts the version before the newest one. */
        const val ALLOWED_LAG = 1L

        const val STEP_INTERVAL_MS = 150L

        /** Duration of a load that is not slowed down by others; polling earlier is useless. */
        const val EXPECTED_LOAD_MS = 900L

        /** An engine idles until its completed load is detected; a report costs a hundredth of this interval. */
        const val REPORT_INTERVAL_MS = 50L

        /** Reports count against the limit of an engine that limits its requests, as runs do. */
        const val LIMITED_REPORT_INTERVAL_MS = 500L
        const val LOAD_TIMEOUT_MS = 4_000L
        const val RETRY_DELAY_MS = 300L
    }
}
