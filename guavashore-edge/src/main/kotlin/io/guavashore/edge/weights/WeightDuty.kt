/*
 * Brings engines to the versions that trainers name, as [planLoads] decides.
 *
 * An order that had no answer may be carried out seconds later. Each order therefore names how many orders the engine
 * must have taken; one that is late meets another number and is refused.
 */
package io.guavashore.edge.weights

import io.github.oshai.kotlinlogging.KotlinLogging
import io.guavashore.api.MonotonicClock
import io.guavashore.api.ServiceId
import io.guavashore.api.TargetId
import io.guavashore.edge.declared.ModelId
import io.guavashore.edge.declared.RouteKind
import io.guavashore.edge.declared.EdgeDeclaration
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

/** Versions that trainers have named, and the oldest that open batches of a model accept. */
class VersionNeeds(
    val named: () -> Map<ModelId, Long>,
    val leastWanted: (ModelId) -> Long,
)

/** Weights keeper of the coordinator. */
class WeightDuty(
    private val scope: CoroutineScope,
    private val declared: () -> EdgeDeclaration?,
    private val needs: VersionNeeds,
    private val directory: TargetDirectory,
    private val control: EngineControl,
    private val runningOn: (TargetId) -> Int,
    private val right: () -> LeaseGrant?,
    private val clock: MonotonicClock,
    private val onLoaded: () -> Unit,
) {
    private val dealt = HashMap<TargetId, ModelId>()
    private val limits = HashMap<ServiceId, LoadLimit>()
    private val loading = HashSet<TargetId>()
    private val notBeforeMs = HashMap<TargetId, Long>()
    private val reports = HashMap<TargetId, EngineReport>()
    private val born = HashMap<TargetId, Long?>()
    private var changed = CompletableDeferred<Unit>()

    /** True while [engine] takes no requests because it loads. */
    fun isLoading(engine: TargetId): Boolean = engine in loading

    /** True if [engine] takes requests of [model]; an engine that is not dealt out yet takes any. */
    fun serves(
        engine: TargetId,
        model: ModelId,
    ): Boolean = dealt[engine] == null || dealt[engine] == model

    /** Loads a second that engines of [service] can carry out. */
    fun loadsPerSecond(service: ServiceId): Double = limits.getOrPut(service) { LoadLimit() }.perSecond

    /** Works until the scope is cancelled. */
    suspend fun run() {
        while (true) {
            declared()?.let { step(it) }
            withTimeoutOrNull(STEP_EVERY_MS) { changed.await() }
            changed = CompletableDeferred()
        }
    }

    /** Has the duty look at once, such as when a version was named. */
    fun wake() {
        changed.complete(Unit)
    }

    private fun step(map: EdgeDeclaration) {
        map.services.values.forEach { service ->
            val engine = service.engine ?: return@forEach
            step(service.id, engine.models, map)
        }
    }

    private fun step(
        service: ServiceId,
        models: List<ModelId>,
        map: EdgeDeclaration,
    ) {
        val entries = directory.usable(service)
        entries.forEach(::noticeRestart)
        val versions =
            models.map { model ->
                val newest = needs.named()[model] ?: FIRST_VERSION
                ModelVersions(model, newest, required = maxOf(newest - ALLOWED_LAG, needs.leastWanted(model)))
            }
        val views = entries.map { view(it) }
        val deal = dealModels(views, versions, dealt)
        entries.forEach { entry -> deal[entry.id]?.let { dealt[entry.id] = it } }
        val now = clock()
        val ready = views.map { it.copy(model = deal[it.id]) }.filter { now >= (notBeforeMs[it.id] ?: 0) }
        val terms = WeightTerms(loadsAtOnce = limits.getOrPut(service) { LoadLimit() }.current)
        planLoads(ready, versions, terms).forEach { load(it, map) }
    }

    private fun view(entry: TargetEntry) =
        EngineLoad(
            id = entry.id,
            model = dealt[entry.id],
            versions = directory.versions(entry),
            running = runningOn(entry.id),
            isLoading = isLoading(entry.id),
        )

    private fun noticeRestart(entry: TargetEntry) {
        if (entry.id in born && born[entry.id] != entry.bornAtMs) reports.remove(entry.id)
        born[entry.id] = entry.bornAtMs
    }

    private fun load(
        decision: LoadDecision,
        map: EdgeDeclaration,
    ) {
        loading += decision.engine
        scope.launch {
            try {
                orderAndAwait(decision, map)
            } catch (e: ExchangeFailure) {
                log.warn { "order without answer: engine=${decision.engine} cause=${e.message}" }
                reports.remove(decision.engine)
                notBeforeMs[decision.engine] = clock() + AGAIN_MS
            } finally {
                loading -= decision.engine
                onLoaded()
                wake()
            }
        }
    }

    private suspend fun orderAndAwait(
        decision: LoadDecision,
        map: EdgeDeclaration,
    ) {
        val entry = directory[decision.engine] ?: return
        val known = reports[entry.id] ?: ask(entry) ?: return retryLater(entry.id, "no report")
        if (known.isBusy) return awaitLoaded(entry, decision)
        val holder = right() ?: return retryLater(entry.id, "lease not held")
        val order =
            WeightOrder(
                model = decision.model,
                version = decision.version,
                keepRunning = map.routes.none { it.kind == RouteKind.BATCH && it.batch?.singleVersion == true },
                holder = holder.holder,
                fencingNumber = holder.fencingNumber,
                expectedOrders = known.ordersTaken,
            )
        val status = control.order(entry, order, holder.isHeld)
        log.info {
            "engine ordered: engine=${entry.id} model=${order.model} version=${order.version} " +
                "status=$status expected_orders=${order.expectedOrders} fence=${order.fencingNumber} " +
                "running=${runningOn(entry.id)}"
        }
        when (status) {
            ACCEPTED -> awaitLoaded(entry, decision)
            HOLDS -> {
                directory.recordVersion(entry.id, decision.model, decision.version)
                retryLater(entry.id, "it holds version ${decision.version} already")
            }
            else -> {
                reports.remove(entry.id)
                retryLater(entry.id, "status $status")
            }
        }
    }

    private suspend fun awaitLoaded(
        entry: TargetEntry,
        decision: LoadDecision,
    ) {
        reports.remove(entry.id)
        val startedMs = clock()
        val deadlineMs = startedMs + LONGEST_LOAD_MS
        val atOnce = loading.size
        delay(USUAL_LOAD_MS)
        while (clock() < deadlineMs && directory[entry.id] != null) {
            val report = ask(entry)
            if (report != null && !report.isBusy) {
                log.info {
                    "engine reports: engine=${entry.id} versions=${report.versions} orders=${report.ordersTaken}"
                }
                limits[entry.service]?.onLoaded(clock() - startedMs, minOf(atOnce, loading.size))
                val version = report.versions[decision.model] ?: 0
                if (version < decision.version) retryLater(entry.id, "still at version $version")
                return
            }
            delay(REPORT_EVERY_MS)
        }
        retryLater(entry.id, "load not seen to end")
    }

    private suspend fun ask(entry: TargetEntry): EngineReport? {
        val report = control.report(entry) ?: return null
        report.versions.forEach { (model, version) -> directory.recordVersion(entry.id, model, version) }
        if (!report.isBusy) reports[entry.id] = report
        return report
    }

    private fun retryLater(
        engine: TargetId,
        reason: String,
    ) {
        log.info { "engine not loaded yet: engine=$engine reason=$reason" }
        notBeforeMs[engine] = clock() + AGAIN_MS
    }

    private companion object {
        const val ACCEPTED = 202
        const val HOLDS = 200

        /** Engines start at this version. */
        const val FIRST_VERSION = 1L

        /** The next batch accepts the version before the newest one. */
        const val ALLOWED_LAG = 1L

        const val STEP_EVERY_MS = 150L

        /** A load alone takes 0.9 s. */
        const val USUAL_LOAD_MS = 900L

        /** An engine that has loaded and is not known to have stands idle; a report costs a hundredth of that. */
        const val REPORT_EVERY_MS = 50L
        const val LONGEST_LOAD_MS = 4_000L
        const val AGAIN_MS = 300L
    }
}
