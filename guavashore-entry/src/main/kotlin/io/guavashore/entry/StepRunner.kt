/*
 * Runs the steps that this entry owns: starts their samples, scores them and cancels what is no longer needed.
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

/** Body sent to a scoring service. */
@Serializable
internal data class ScoreBody(
    val sample: String,
    val tokens: List<Int>,
)

/** Answer of a scoring service. */
@Serializable
internal data class ScoreAnswer(
    val score: Double,
)

/** Runner of all steps of one entry. */
internal class StepRunner(
    private val registry: StepRegistry,
    private val services: EntryServices,
    private val scope: CoroutineScope,
) {
    private val running = ConcurrentHashMap<StepKey, Job>()

    /** Runs the step, if it does not run yet, until it is complete or dropped. */
    fun ensureRunning(key: StepKey) {
        running.computeIfAbsent(key) {
            scope.launch {
                log.info { "step started: ${key.team}/${key.trainer}/${key.step}" }
                try {
                    run(key)
                } finally {
                    running.remove(key)
                    log.info { "step ended: ${key.team}/${key.trainer}/${key.step}" }
                }
            }
        }
    }

    /** Drops steps that are done or whose trainer is silent. */
    fun removeFinishedSteps() {
        registry.removeFinishedSteps().forEach { running.remove(it)?.cancel() }
    }

    private suspend fun run(key: StepKey) =
        coroutineScope {
            val jobs = ConcurrentHashMap<SampleId, MutableList<Job>>()
            val progress = ConcurrentHashMap<SampleId, SampleProgress>()
            while (registry.withStep(key) { !it.isComplete() } == true) {
                startSamples(key, jobs, progress)
                delay(TICK_MS)
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
        val pool = admitted(key.team, trainer, trainer.service.value)?.pool ?: return
        val room = pool.totalSlots() + EXTRA_WAITING - jobs.values.sumOf { started -> started.count { it.isActive } }
        val speedOf: SpeedOf = { sample -> progress[sample]?.target?.let(pool.dispatcher::speedOf) ?: UNKNOWN_SPEED }
        repeat(maxOf(0, room)) {
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
        val first = registry.withStep(key) { it.generated(work.sample, generation, services.clock()) } ?: return
        if (generation == null) {
            services.metrics.count("samples.failed", "reason" to (outcome.getError()?.kind?.name ?: "none").lowercase())
            delay(RETRY_MS)
        }
        if (!first || generation == null) return
        val own = kotlin.coroutines.coroutineContext[Job]
        jobs[work.sample]?.toList()?.filter { it != own }?.forEach { it.cancel() }
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
            admitted(key.team, trainer, trainer.service.value) ?: return badRequest("the trainer's service is gone")
        val slot =
            SlotRequest(
                organisation = trainer.organisation,
                workClass = WorkClass.SAMPLES,
                cost = work.request.maxTokens.toLong(),
                deadlineMs = services.clock() + admitted.service.timeoutMs,
                prefixKey = "${key.step}/${work.group}",
            )
        val fingerprint = RequestFingerprint.of(trainer.organisation, "${work.request}".toByteArray())
        val plan = CallPlan(slot, fingerprint, idempotent = true)
        val own = if (work.duplicate) progress[work.sample]?.copy() ?: SampleProgress() else SampleProgress()
        if (!work.duplicate) progress[work.sample] = own
        return services.timed(admitted, WorkClass.SAMPLES) {
            admitted.pool.generations.run(
                plan = plan,
                request = work.request,
                from = own.generation(),
                onStart = { own.target = it },
                onChunk = { own.add(it) },
            )
        }
    }

    /** Scores a sample; asks again until the scorer answers or the step ends. */
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
            delay(RETRY_MS)
        }
    }

    private suspend fun scoreOnce(
        team: TeamId,
        trainer: TrainerDeclaration,
        scorer: String,
        sample: SampleId,
        generation: Generation,
    ): Double? {
        val admitted = admitted(team, trainer, scorer) ?: return null
        val body = apiJson.encodeToString(ScoreBody(sample.value, generation.tokens)).toByteArray()
        val request = PlainRequest("POST", "/score", "application/json", "application/json", body)
        val slot =
            SlotRequest(
                trainer.organisation,
                WorkClass.SAMPLES,
                cost = 1,
                deadlineMs =
                    services.clock() + admitted.service.timeoutMs,
            )
        val plan = CallPlan(slot, RequestFingerprint.of(trainer.organisation, body), idempotent = true)
        val answer = services.attemptPlain(admitted, request, plan).getOrElse { return null }
        return try {
            apiJson.decodeFromString<ScoreAnswer>(answer.body.decodeToString()).score
        } catch (e: SerializationException) {
            null
        }
    }

    private fun admitted(
        team: TeamId,
        trainer: TrainerDeclaration,
        service: String,
    ): Admitted? {
        val runtime = services.state.team(team) ?: return null
        val declared = runtime.declaration.services.firstOrNull { it.id.value == service } ?: return null
        val pool = runtime.pools[declared.pool] ?: return null
        return Admitted(runtime, declared, pool, Caller(OrganisationId(trainer.organisation.value), key = null))
    }

    private companion object {
        const val UNKNOWN_SPEED = 2.0
        const val TICK_MS = 50L
        const val RETRY_MS = 200L
        const val EXTRA_WAITING = 8
    }
}
