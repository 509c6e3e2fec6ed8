/*
 * Steps that this entry owns.
 */
package io.guavashore.samples

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import io.guavashore.api.MonotonicClock
import io.guavashore.api.StepId
import io.guavashore.api.TeamId
import io.guavashore.api.TrainerDeclaration
import io.guavashore.api.TrainerId

/** Full name of a step. */
data class StepKey(
    val team: TeamId,
    val trainer: TrainerId,
    val step: StepId,
)

/** Registry of steps. Thread-safe; [StepState]s are used under [withStep] only. */
class StepRegistry(
    private val clock: MonotonicClock,
    private val silenceMs: Long = 60_000,
) {
    private val steps = HashMap<StepKey, StepState>()

    /** Accepts [request]; true if the step is new here, false if it was known with the same content. */
    fun put(
        key: StepKey,
        request: StepRequest,
        trainer: TrainerDeclaration,
    ): Result<Boolean, StepError> {
        checkBounds(request, trainer)?.let { return Err(it) }
        synchronized(steps) {
            val known = steps[key]
            if (known != null) return known.putAgain(request, clock()).map { false }
            steps[key] = StepState(trainer.id, request, trainer.maxStalenessVersions, clock())
            return Ok(true)
        }
    }

    /** Runs [block] on the step, or returns null if it is not known here. */
    fun <T> withStep(
        key: StepKey,
        block: (StepState) -> T,
    ): T? = synchronized(steps) { steps[key]?.let(block) }

    /** Drops steps that are complete or whose trainer has been silent; returns them. */
    fun removeFinishedSteps(): List<StepKey> =
        synchronized(steps) {
            val done =
                steps
                    .filterValues { clock() - it.lastCallAtMs > if (it.isComplete()) DONE_KEEP_MS else silenceMs }
                    .keys
            done.toList().onEach { steps.remove(it) }
        }

    fun keys(): List<StepKey> = synchronized(steps) { steps.keys.toList() }

    private fun checkBounds(
        request: StepRequest,
        trainer: TrainerDeclaration,
    ): StepError? {
        val samples = request.groups.sumOf { it.samples.toLong() }
        val problem =
            when {
                request.groups.isEmpty() -> "a step needs at least one group"
                request.groups.any { it.samples < 1 || it.maxTokens < 1 || it.prompt.isEmpty() } ->
                    "each group needs a prompt, at least one sample and max_tokens of at least 1"
                request.groups
                    .map { it.id }
                    .toSet()
                    .size < request.groups.size -> "group ids must differ"
                samples > trainer.maxSamplesPerStep ->
                    "$samples samples are more than max_samples_per_step, ${trainer.maxSamplesPerStep}; split the step"
                else -> null
            }
        return problem?.let(StepError::OutOfBounds)
    }

    private companion object {
        const val DONE_KEEP_MS = 5_000L
    }
}
