/*
 * Registry of the steps owned by this entry node.
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

/** Unique key of a step. */
data class StepKey(
    val team: TeamId,
    val trainer: TrainerId,
    val step: StepId,
)

/**
 * Registry of steps. Thread-safe; a [StepState] is accessed through [withStep] only.
 *
 * @param inactivityTimeoutMs time without a call of the trainer after which an incomplete step is removed
 */
class StepRegistry(
    private val clock: MonotonicClock,
    private val inactivityTimeoutMs: Long = 60_000,
) {
    private val steps = HashMap<StepKey, StepState>()

    /** Accepts [request]. Returns true if the step is new, false if it exists with the same content. */
    fun put(
        key: StepKey,
        request: StepRequest,
        trainer: TrainerDeclaration,
    ): Result<Boolean, StepError> {
        validate(request, trainer)?.let { return Err(it) }
        synchronized(steps) {
            val known = steps[key]
            if (known != null) return known.resubmit(request, clock()).map { false }
            steps[key] = StepState(trainer.id, request, trainer.maxStalenessVersions, clock())
            return Ok(true)
        }
    }

    /** Runs [block] on the step, or returns null if this entry node does not have it. */
    fun <T> withStep(
        key: StepKey,
        block: (StepState) -> T,
    ): T? = synchronized(steps) { steps[key]?.let(block) }

    /** Removes and returns the steps that are complete or whose trainer has not called for too long. */
    fun removeFinishedSteps(): List<StepKey> =
        synchronized(steps) {
            val done =
                steps
                    .filterValues {
                        clock() - it.lastCallAtMs >
                            if (it.isComplete()) COMPLETED_RETENTION_MS else inactivityTimeoutMs
                    }.keys
            done.toList().onEach { steps.remove(it) }
        }

    fun keys(): List<StepKey> = synchronized(steps) { steps.keys.toList() }

    private fun validate(
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
                    .size < request.groups.size -> "group ids must be unique"
                samples > trainer.maxSamplesPerStep ->
                    "got $samples samples, max_samples_per_step is ${trainer.maxSamplesPerStep}; split the step"
                else -> null
            }
        return problem?.let(StepError::OutOfBounds)
    }

    private companion object {
        const val COMPLETED_RETENTION_MS = 5_000L
    }
}
