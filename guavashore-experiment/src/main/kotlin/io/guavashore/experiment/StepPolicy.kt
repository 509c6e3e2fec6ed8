/*
 * Policies of steps that are compared.
 */
package io.guavashore.experiment

import io.guavashore.samples.StragglerConfig

/** What a policy does about placement, stragglers and crashes. */
internal data class StepPolicy(
    val name: String,
    val roundRobin: Boolean = false,
    val prefixAffinity: Boolean = true,
    val duplicateStragglers: Boolean = true,
    val continueAfterCrash: Boolean = true,
    val useSpeeds: Boolean = true,
) {
    fun stragglerTerms() = if (duplicateStragglers) StragglerConfig() else StragglerConfig(minFinishedShare = NEVER)

    companion object {
        private const val NEVER = 2.0

        /** The chosen policy, each of its parts switched off, and a plain baseline. */
        val all =
            listOf(
                StepPolicy("chosen"),
                StepPolicy("chosen without duplicates", duplicateStragglers = false),
                StepPolicy("chosen without prefix affinity", prefixAffinity = false),
                StepPolicy("chosen without continuation", continueAfterCrash = false),
                StepPolicy("chosen without speeds", useSpeeds = false),
                StepPolicy(
                    "baseline: round robin",
                    roundRobin = true,
                    prefixAffinity = false,
                    duplicateStragglers = false,
                    continueAfterCrash = false,
                    useSpeeds = false,
                ),
            )
    }
}
