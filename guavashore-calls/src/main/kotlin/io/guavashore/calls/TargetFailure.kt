/*
 * Failures of an attempt on a target, classified by the point at which the attempt failed.
 */
package io.guavashore.calls

import io.guavashore.net.ExchangeFailure
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.TimeoutCancellationException
import java.net.ConnectException

/**
 * Point at which an attempt failed.
 *
 * @property mayHaveRun true if the target may have run the request
 */
enum class FailurePoint(
    val mayHaveRun: Boolean,
) {
    /** The target refused the request. */
    REFUSED(mayHaveRun = false),

    /** No connection was established, so no bytes were sent. */
    CONNECT(mayHaveRun = false),

    /** The connection failed when bytes may have been sent, before the response started. */
    SENT(mayHaveRun = true),

    /** The connection failed during the response. */
    ANSWERING(mayHaveRun = true),

    /** The response was truncated, out of order or otherwise invalid, or belongs to another attempt. */
    WRONG_ANSWER(mayHaveRun = true),

    /** The response exceeds the service's maximum size. */
    TOO_LONG(mayHaveRun = true),

    /** The target stopped sending, or the deadline passed. */
    TIMEOUT(mayHaveRun = true),
}

/** Thrown by a target's client; [decideRetry] decides whether the call is retried. */
class TargetFailure(
    val failurePoint: FailurePoint,
    message: String,
) : Exception("$failurePoint: $message")

/**
 * Converts [thrown], an exception of an HTTP client, to a [TargetFailure]. Cancellation is returned unchanged.
 *
 * @param responseStarted true if the response had started
 */
internal fun toTargetFailure(
    thrown: Exception,
    responseStarted: Boolean,
): Exception =
    when (thrown) {
        is TargetFailure -> thrown
        is TimeoutCancellationException -> TargetFailure(FailurePoint.TIMEOUT, "no complete response in time")
        is CancellationException -> thrown
        is ConnectException, is ExchangeFailure.NotConnected ->
            TargetFailure(FailurePoint.CONNECT, "connection failed")
        else -> connectionFailure(thrown, responseStarted)
    }

private fun connectionFailure(
    thrown: Exception,
    responseStarted: Boolean,
) = TargetFailure(if (responseStarted) FailurePoint.ANSWERING else FailurePoint.SENT, thrown.javaClass.simpleName)
