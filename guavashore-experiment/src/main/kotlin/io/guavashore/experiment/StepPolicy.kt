/*
 * Step policies that the experiment compares.
 */
package io.guavashore.experiment

import io.guavashore.samples.StragglerConfig

/** How a policy places samples and handles stragglers and crashes. */
internal data class StepPolicy(
    val name: String,
    val roundRobin: Boolean = false,
    val prefixAffinity: Boolean = true,
    val duplicateStragglers: Boolean = true,
    val continueAfterCrash: Boolean = true,
    val useSpeeds: Boolean = true,
) {
    fun stragglerConfig() =
        if (duplicateStragglers) StragglerConfig() else StragglerConfig(minFinishedShare = UNREACHABLE_SHARE)

    companion object {
        /** Share of finished samples that is never reached, which disables duplicates. */
        private const val UNREACHABLE_SHARE = 2.0

        /** The production policy (`chosen`), variants that each omit one part of it, and a round-robin baseline. */
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
