/*
 * Reasons for refusing a step or a pull.
 */
package io.guavashore.samples

/** Error returned to a trainer. */
sealed interface StepError {
    val message: String

    /** The step id was submitted before with different content. */
    data object DifferentContent : StepError {
        override val message = "the step was submitted before with different content; use a new step id"
    }

    /** The request's owner epoch is lower than [known], so the trainer has switched to another entry node. */
    data class OldEpoch(
        val known: Long,
    ) : StepError {
        override val message =
            "the step has the later owner epoch $known; pull from the entry node that the trainer switched to"
    }

    /** This entry node does not have the step. */
    data object Unknown : StepError {
        override val message =
            "unknown step; submit it again with the groups received so far and a higher owner epoch"
    }

    /** The step is invalid or exceeds the trainer's declared maximum. */
    data class OutOfBounds(
        override val message: String,
    ) : StepError
}
