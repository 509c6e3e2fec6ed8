/*
 * Requests that carry an idempotency key run once, through whichever entry they are repeated: the key is claimed in
 * the platform's store before the first byte may leave.
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
import io.guavashore.claims.RecordedAnswer
import io.guavashore.wire.ControlMessage
import io.guavashore.wire.WireError
import io.guavashore.wire.expect

/** One exchange with the steward. */
internal typealias ExchangeWithSteward = suspend (ControlMessage) -> Result<ControlMessage, WireError>

/** Claims of one entry. */
internal class RequestClaims(
    private val exchange: ExchangeWithSteward,
    private val newAttemptId: NewAttemptId,
) {
    /** Runs [block] if [key] can be claimed; else returns the recorded answer or refuses. */
    suspend fun runOnce(
        key: ClaimKey,
        block: suspend () -> Result<PlainResponse, Refusal>,
    ): Result<PlainResponse, Refusal> {
        val attempt = newAttemptId()
        val reply = exchange(ControlMessage.ClaimRequest(key, attempt)).expect<ControlMessage.ClaimReply>()
        return when (val outcome = reply.get()?.outcome) {
            null, is ClaimOutcome.Unavailable -> {
                // The claim may have taken effect without an answer; it must not bar the caller's next try.
                end(key, attempt, answer = null)
                Err(cannotClaim())
            }
            is ClaimOutcome.Taken ->
                outcome.answer?.let { Ok(PlainResponse(it.status, it.contentType, it.body)) }
                    ?: Err(taken())
            ClaimOutcome.Granted -> runClaimed(key, attempt, block)
        }
    }

    private suspend fun runClaimed(
        key: ClaimKey,
        attempt: AttemptId,
        block: suspend () -> Result<PlainResponse, Refusal>,
    ): Result<PlainResponse, Refusal> =
        block()
            .onSuccess { end(key, attempt, RecordedAnswer(it.status, it.contentType, it.body)) }
            .onFailure { if (it.notRun) end(key, attempt, answer = null) }

    /** If this does not arrive, a repeat is refused although it might have been answered; it never runs twice. */
    private suspend fun end(
        key: ClaimKey,
        attempt: AttemptId,
        answer: RecordedAnswer?,
    ) {
        exchange(ControlMessage.ClaimEnd(key, attempt, answer))
    }

    private fun cannotClaim() =
        Refusal(
            kind = RefusalKind.NO_CAPACITY,
            message = "the idempotency key can't be claimed, since the store is out of reach; come back later",
            notRun = true,
            retryAfterMs = RETRY_AFTER_MS,
        )

    private fun taken() =
        Refusal(
            kind = RefusalKind.CONFLICT,
            message = "a request with this idempotency key was taken before and may have run; it is not run again",
            notRun = false,
        )

    private companion object {
        const val RETRY_AFTER_MS = 5_000L
    }
}
