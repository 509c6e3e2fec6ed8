/*
 * Runs the steps that this entry owns: starts their samples, has them scored, and cancels attempts that are no longer
 * needed.
 */
package io.guavashore.entry

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrElse
import io.github.oshai.kotlinlogging.KotlinLogging
import io.guavashore.admission.WorkClass
import io.guavashore.api.Generation
import io.guavashore.api.OrganisationId
import io.guavashore.api.Refusal
import io.guavashore.api.SampleId
import io.guavashore.api.TeamId
import io.guavashore.api.TrainerDeclaration
import io.guavashore.calls.CallPlan
import io.guavashore.calls.PlainRequest
import io.guavashore.calls.SlotRequest
import io.guavashore.routing.RequestFingerprint
import io.guavashore.samples.SampleWork
import io.guavashore.samples.SpeedOf
import io.guavashore.samples.StepKey
import io.guavashore.samples.StepRegistry
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import java.util.concurrent.ConcurrentHashMap

private val log = KotlinLogging.logger {}

/** Body of a request to a scoring service. */
@Serializable
internal data class ScoreRequestBody(
    val sample: String,
    val tokens: List<Int>,
)

/** Body of a scoring service's response. */
@Serializable
internal data class ScoreResponseBody(
    val score: Double,
)

/** Runs the steps of one entry, each in a coroutine of [scope]. */
internal class StepRunner(
    private val registry: StepRegistry,
    private val services: EntryServices,
    private val scope: CoroutineScope,
) {
    private val stepJobs = ConcurrentHashMap<StepKey, Job>()

    /** Starts the step unless it is running; it runs until it is complete or removed. */
    fun ensureRunning(key: StepKey) {
        stepJobs.computeIfAbsent(key) {
            scope.launch {
                log.info { "step started: step=${key.team}/${key.trainer}/${key.step}" }
                try {
                    run(key)
                } finally {
                    stepJobs.remove(key)
                    log.info { "step ended: step=${key.team}/${key.trainer}/${key.step}" }
                }
            }
        }
    }

    /** Removes and cancels steps that are finished or whose trainer has stopped calling. */
    fun removeFinishedSteps() {
        registry.removeFinishedSteps().forEach { stepJobs.remove(it)?.cancel() }
    }

    private suspend fun run(key: StepKey) =
        coroutineScope {
            val jobs = ConcurrentHashMap<SampleId, MutableList<Job>>()
            val progress = ConcurrentHashMap<SampleId, SampleProgress>()
            while (registry.withStep(key) { !it.isComplete() } == true) {
                startSamples(key, jobs, progress)
                delay(POLL_INTERVAL_MS)
            }
            jobs.values.flatten().forEach { it.cancel() }
        }

    private fun CoroutineScope.startSamples(
        key: StepKey,
        jobs: ConcurrentHashMap<SampleId, MutableList<Job>>,
        progress: ConcurrentHashMap<SampleId, SampleProgress>,
    ) {
        val team = services.state.team(key.team) ?: return
        val trainer = team.declaration.trainer(key.trainer) ?: return
        val pool = trainerCall(key.team, trainer, trainer.service.value)?.pool ?: return
        val maxStarts =
            pool.totalSlots() + EXTRA_QUEUED_SAMPLES - jobs.values.sumOf { started -> started.count { it.isActive } }
        val speedOf: SpeedOf = { sample -> progress[sample]?.target?.let(pool.dispatcher::speedOf) ?: UNKNOWN_SPEED }
        repeat(maxOf(0, maxStarts)) {
            val work = registry.withStep(key) { it.nextWork(services.clock(), speedOf) } ?: return
            val job = launch { runSample(key, trainer, work, jobs, progress) }
            jobs.getOrPut(work.sample) { mutableListOf() } += job
        }
    }

    private suspend fun runSample(
        key: StepKey,
        trainer: TrainerDeclaration,
        work: SampleWork,
        jobs: ConcurrentHashMap<SampleId, MutableList<Job>>,
        progress: ConcurrentHashMap<SampleId, SampleProgress>,
    ) {
        val outcome = generate(key, trainer, work, progress)
        progress.remove(work.sample)
        val generation = outcome.get()
        val isFirst = registry.withStep(key) { it.generated(work.sample, generation, services.clock()) } ?: return
        if (generation == null) {
            services.metrics.count("samples.failed", "reason" to (outcome.getError()?.kind?.name ?: "none").lowercase())
            delay(RETRY_DELAY_MS)
        }
        if (!isFirst || generation == null) return
        val ownJob = kotlin.coroutines.coroutineContext[Job]
        jobs[work.sample]?.toList()?.filter { it != ownJob }?.forEach { it.cancel() }
        val score = score(key.team, trainer, work.sample, generation)
        registry.withStep(key) { it.scored(work.sample, score) }
    }

    private suspend fun generate(
        key: StepKey,
        trainer: TrainerDeclaration,
        work: SampleWork,
        progress: ConcurrentHashMap<SampleId, SampleProgress>,
    ): Result<Generation, Refusal> {
        val admitted =
            trainerCall(key.team, trainer, trainer.service.value)
                ?: return badRequest("the trainer's service is no longer declared")
        val slot =
            SlotRequest(
                organisation = trainer.organisation,
                workClass = WorkClass.SAMPLES,
                cost = work.request.maxTokens.toLong(),
                deadlineMs = services.clock() + admitted.service.timeoutMs,
                prefixKey = "${key.step}/${work.group}",
            )
        val fingerprint = RequestFingerprint.of(trainer.organisation, "${work.request}".toByteArray())
        val plan = CallPlan(slot, fingerprint, idempotent = true, isOwed = true)
        val ownProgress = if (work.duplicate) progress[work.sample]?.copy() ?: SampleProgress() else SampleProgress()
        if (!work.duplicate) progress[work.sample] = ownProgress
        return services.timed(admitted, WorkClass.SAMPLES) {
            admitted.pool.generationRunner.run(
                plan = plan,
                request = work.request,
                from = ownProgress.generation(),
                onStart = { ownProgress.target = it },
                onChunk = { ownProgress.add(it) },
            )
        }
    }

    /** Scores a sample; retries until the scorer responds or the step ends. 0.0 if the trainer has no scorer. */
    private suspend fun score(
        team: TeamId,
        trainer: TrainerDeclaration,
        sample: SampleId,
        generation: Generation,
    ): Double {
        val scorer = trainer.scorer ?: return 0.0
        while (true) {
            scoreOnce(team, trainer, scorer.value, sample, generation)?.let { return it }
            services.metrics.count("scores.failed", "trainer" to trainer.id.value)
            delay(RETRY_DELAY_MS)
        }
    }

    private suspend fun scoreOnce(
        team: TeamId,
        trainer: TrainerDeclaration,
        scorer: String,
        sample: SampleId,
        generation: Generation,
    ): Double? {
        val admitted = trainerCall(team, trainer, scorer) ?: return null
        val body = apiJson.encodeToString(ScoreRequestBody(sample.value, generation.tokens)).toByteArray()
        val request = PlainRequest("POST", "/score", "application/json", "application/json", body)
        val slot =
            SlotRequest(
                trainer.organisation,
                WorkClass.SAMPLES,
                cost = 1,
                deadlineMs =
                    services.clock() + admitted.service.timeoutMs,
            )
        val plan = CallPlan(slot, RequestFingerprint.of(trainer.organisation, body), idempotent = true, isOwed = true)
        val response = services.callPlainUnlimited(admitted, request, plan).getOrElse { return null }
        return try {
            apiJson.decodeFromString<ScoreResponseBody>(response.body.decodeToString()).score
        } catch (e: SerializationException) {
            null
        }
    }

    /** Returns a call of [service] on behalf of the trainer; null if the service is not declared. */
    private fun trainerCall(
        team: TeamId,
        trainer: TrainerDeclaration,
        service: String,
    ): AdmittedCall? {
        val runtime = services.state.team(team) ?: return null
        val declared = runtime.declaration.services.firstOrNull { it.id.value == service } ?: return null
        val pool = runtime.pools[declared.pool] ?: return null
        return AdmittedCall(runtime, declared, pool, Caller(OrganisationId(trainer.organisation.value), key = null))
    }

    private companion object {
        /** Above 1, which [SpeedOf] defines as unknown. */
        const val UNKNOWN_SPEED = 2.0

        const val POLL_INTERVAL_MS = 50L
        const val RETRY_DELAY_MS = 200L

        /** Samples started beyond the pool's slots; they wait in the dispatcher's queue for a free slot. */
        const val EXTRA_QUEUED_SAMPLES = 8
    }
}
