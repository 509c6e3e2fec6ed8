/*
 * Combines the outcomes of several attempts at one store call, which may go directly and through peers.
 *
 * An attempt without a response may have taken effect, or may do so later. A refusal of a later attempt says nothing
 * about it, so the call as a whole counts as not done only if every attempt was refused.
 */
package io.guavashore.edge.peers

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import io.guavashore.platform.StoreCallError
import io.guavashore.platform.StoreResponse

/** Attempts at one store call. Not thread-safe. */
internal class StoreCallAttempts {
    private var withoutResponse: StoreCallError.Unknown? = null

    /** Number of attempts so far. */
    var count = 0
        private set

    /** Number of attempts to which the store responded that it is unavailable. */
    private var unavailable = 0

    /** True if the store responded to every attempt that it is unavailable. */
    val wereUnavailable: Boolean get() = count > 0 && unavailable == count

    /** Adds the [outcome] of an attempt; returns the outcome of the call as a whole. */
    fun add(outcome: Result<StoreResponse, StoreCallError>): Result<StoreResponse, StoreCallError> {
        count++
        val error = if (outcome.isErr) outcome.error else return outcome
        if (error is StoreCallError.Unknown) withoutResponse = error
        if (error is StoreCallError.NotDone && error.isUnavailable) unavailable++
        val unsettled = withoutResponse
        return if (error is StoreCallError.NotDone && unsettled != null) Err(unsettled) else outcome
    }
}
