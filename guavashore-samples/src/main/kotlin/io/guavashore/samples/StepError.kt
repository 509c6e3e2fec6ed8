/*
 * Why a step was not accepted or a pull not answered.
 */
package io.guavashore.samples

/** Errors towards trainers. */
sealed interface StepError {
    val message: String

    /** The same step id was put before with another content. */
    data object DifferentContent : StepError {
        override val message = "the step was put before with other content; use a new step id"
    }

    /** A later owner epoch is known here. */
    data class OldEpoch(
        val known: Long,
    ) : StepError {
        override val message = "owner epoch $known is known; the trainer has turned elsewhere since, pull there"
    }

    /** The step is not known here. */
    data object Unknown : StepError {
        override val message =
            "the step is not known here; put it again with the groups received so far and a higher owner epoch"
    }

    /** The step is larger than declared for the trainer, or has no groups. */
    data class OutOfBounds(
        override val message: String,
    ) : StepError
}
