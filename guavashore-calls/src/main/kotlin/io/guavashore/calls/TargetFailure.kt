/*
 * How an attempt on a target can fail, by the point at which it broke.
 */
package io.guavashore.calls

/** Point at which an attempt broke. */
enum class BreakPoint(
    val mayHaveRun: Boolean,
) {
    /** The target answered that it does not take the request. */
    REFUSED(mayHaveRun = false),

    /** No connection came about, so no byte left. */
    CONNECT(mayHaveRun = false),

    /** The connection broke after bytes may have left and before the answer began. */
    SENT(mayHaveRun = true),

    /** The connection broke within the answer. */
    ANSWERING(mayHaveRun = true),

    /** The answer was cut short, out of order, or belongs to another attempt. */
    WRONG_ANSWER(mayHaveRun = true),

    /** The answer is longer than the service's bound. */
    TOO_LONG(mayHaveRun = true),

    /** The target fell silent, or the deadline passed. */
    TIMEOUT(mayHaveRun = true),
}

/** Thrown inside a target's client; turned into a step by [afterFailure]. */
class TargetFailure(
    val breakPoint: BreakPoint,
    message: String,
) : Exception("$breakPoint: $message")
