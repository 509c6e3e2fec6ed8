/*
 * Runs requests with an idempotency key at most once, even if they are repeated through another entry: the key is
 * claimed in the platform's store before the first byte is sent to a target.
 */
package io.guavashore.entry

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import io.guavashore.api.AttemptId
import io.guavashore.api.Refusal
import io.guavashore.api.RefusalKind
import io.guavashore.calls.NewAttemptId
import io.guavashore.calls.PlainResponse
import io.guavashore.claims.ClaimKey
import io.guavashore.claims.ClaimOutcome
import io.guavashore.claims.RecordedResponse
import io.guavashore.wire.ControlMessage
import io.guavashore.wire.WireError
import io.guavashore.wire.expect

/** Sends a message to the steward and returns its response. */
internal typealias ExchangeWithSteward = suspend (ControlMessage) -> Result<ControlMessage, WireError>

/** Claims idempotency keys for the requests of one entry. */
internal class IdempotencyClaims(
    private val exchange: ExchangeWithSteward,
    private val newAttemptId: NewAttemptId,
) {
    /** Runs [block] if [key] can be claimed; otherwise returns the recorded response or refuses. */
    suspend fun runOnce(
        key: ClaimKey,
        block: suspend () -> Result<PlainResponse, Refusal>,
    ): Result<PlainResponse, Refusal> {
        val attempt = newAttemptId()
        val reply = exchange(ControlMessage.ClaimRequest(key, attempt)).expect<ControlMessage.ClaimReply>()
        return when (val outcome = reply.get()?.outcome) {
            null, is ClaimOutcome.Unavailable -> {
                // The claim may have been stored although no reply arrived; release it so that the caller can retry.
                endClaim(key, attempt, response = null)
                Err(storeUnreachable())
            }
            is ClaimOutcome.Taken ->
                outcome.response?.let { Ok(PlainResponse(it.status, it.contentType, it.body)) }
                    ?: Err(alreadyClaimed())
            ClaimOutcome.Granted -> runAndRecord(key, attempt, block)
        }
    }

    private suspend fun runAndRecord(
        key: ClaimKey,
        attempt: AttemptId,
        block: suspend () -> Result<PlainResponse, Refusal>,
    ): Result<PlainResponse, Refusal> =
        block()
            .onSuccess { endClaim(key, attempt, RecordedResponse(it.status, it.contentType, it.body)) }
            .onFailure { if (it.notRun) endClaim(key, attempt, response = null) }

    /**
     * Releases the claim or records the response. If this message is lost, a repeated request is refused although it
     * could have got the recorded response or run; it never runs twice.
     */
    private suspend fun endClaim(
        key: ClaimKey,
        attempt: AttemptId,
        response: RecordedResponse?,
    ) {
        exchange(ControlMessage.ClaimEnd(key, attempt, response))
    }

    private fun storeUnreachable() =
        Refusal(
            kind = RefusalKind.NO_CAPACITY,
            message = "can't claim the idempotency key, the store is unreachable; retry after the time given",
            notRun = true,
            retryAfterMs = RETRY_AFTER_MS,
        )

    private fun alreadyClaimed() =
        Refusal(
            kind = RefusalKind.CONFLICT,
            message = "a request with this idempotency key was accepted before and may have run; it is not run again",
            notRun = false,
        )

    private companion object {
        const val RETRY_AFTER_MS = 5_000L
    }
}
