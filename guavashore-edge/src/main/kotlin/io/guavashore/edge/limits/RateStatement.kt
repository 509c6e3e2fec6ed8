/*
 * What a target's response says about the rate of requests that the target takes.
 */
package io.guavashore.edge.limits

/** Statement in the head of a response. */
sealed interface RateStatement {
    /** The target takes [requestsPerS] requests per second from all VMs together. */
    data class Limited(
        val requestsPerS: Double,
    ) : RateStatement

    /** The response names no limit, so the target takes any rate. */
    data object Unlimited : RateStatement

    /** The response names a limit that can't be read; what was known before stays in force. */
    data object Unreadable : RateStatement
}
