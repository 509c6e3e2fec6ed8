/*
 * How an attempt on a target can fail, by the point at which it broke.
 */
package io.guavashore.calls

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.TimeoutCancellationException
import java.io.IOException
import java.net.ConnectException
import java.net.http.HttpConnectTimeoutException

/** Point at which an attempt broke. */
enum class FailurePoint(
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
    val breakPoint: FailurePoint,
    message: String,
) : Exception("$breakPoint: $message")

/**
 * What to throw for [thrown] by an HTTP client. Cancellation stays what it is.
 *
 * @param answered whether the answer had begun
 */
internal fun asTargetFailure(
    thrown: Exception,
    answered: Boolean,
): Exception =
    when (thrown) {
        is TargetFailure -> thrown
        is TimeoutCancellationException -> TargetFailure(FailurePoint.TIMEOUT, "no whole answer in time")
        is CancellationException -> thrown
        is ConnectException, is HttpConnectTimeoutException -> TargetFailure(FailurePoint.CONNECT, "no connection")
        is IOException -> (thrown.cause as? TargetFailure) ?: broken(thrown, answered)
        else -> broken(thrown, answered)
    }

private fun broken(
    thrown: Exception,
    answered: Boolean,
) = TargetFailure(if (answered) FailurePoint.ANSWERING else FailurePoint.SENT, thrown.javaClass.simpleName)
