/*
 * Sends one score call to one target and interprets the response.
 */
package io.guavashore.edge.batches

import io.github.oshai.kotlinlogging.KotlinLogging
import io.guavashore.edge.declared.TargetEntry
import io.guavashore.edge.limits.OnNoLimitNamed
import io.guavashore.edge.limits.Permit
import io.guavashore.edge.limits.RateStatement
import io.guavashore.edge.targets.ForwardingContext
import io.guavashore.edge.targets.ReceivedResponse
import io.guavashore.edge.targets.ReportedLoad
import io.guavashore.edge.targets.ResponseMetadata
import io.guavashore.edge.targets.TargetConnectionPool
import io.guavashore.edge.targets.TargetProtocol
import io.guavashore.net.ExchangeFailure
import io.guavashore.net.HttpConnection
import io.guavashore.net.ResponseHead
import kotlinx.coroutines.withTimeoutOrNull

private val log = KotlinLogging.logger {}

/** Outcome of a score call. Its string form is logged. */
sealed interface ScoreOutcome {
    data class Scored(
        val score: Score,
    ) : ScoreOutcome

    /** The target responded that it can't score the text; counts against the item's attempts. */
    data class Failed(
        val status: Int,
    ) : ScoreOutcome

    /** The target did not run the call; [wasOffered] is false if no connection could be made. */
    data class NotRun(
        val reason: String,
        val wasOffered: Boolean,
    ) : ScoreOutcome

    /** No usable response was received. */
    data class Broken(
        val reason: String,
    ) : ScoreOutcome
}

/** Sends score calls. Passes the load that responses report to [onLoadReported]. */
class ScoreCall(
    private val protocol: TargetProtocol,
    private val connections: TargetConnectionPool,
    private val onNoLimitNamed: OnNoLimitNamed = { _, _ -> },
    private val isEvacuated: (TargetEntry) -> Boolean = { false },
    private val onLoadReported: (TargetEntry, ReportedLoad) -> Unit,
) {
    /**
     * Sends the score call [scorer] to [target] under [permit]; it is [ScoreOutcome.Broken] after [timeoutMs].
     *
     * @param mayRun whether calls for the text's batch may be sent now; asked just before sending, as opening a
     *   connection takes time
     * @param onResponse called with the beginning of the response from which the outcome is taken
     */
    suspend fun run(
        scorer: ScorerSpec,
        target: TargetEntry,
        timeoutMs: Long,
        permit: Permit = Permit(target.id),
        mayRun: () -> Boolean = { true },
        onResponse: (ReceivedResponse) -> Unit = {},
    ): ScoreOutcome {
        val connection =
            try {
                connections.take(target, requestId = scorer.id.value)
            } catch (e: ExchangeFailure.NotConnected) {
                return ScoreOutcome.NotRun(e.message.orEmpty(), wasOffered = false)
            }
        try {
            denial(target, permit, mayRun)?.let { return it }
            connection.send(
                protocol.scoreRequest(
                    scorer,
                    ForwardingContext(target.id, organisation = null, deadlineInMs = timeoutMs),
                ),
                scorer.id.value,
            )
            log.info { "score call sent: call=${scorer.id} target=${target.id} ${connection.logFields}" }
            return withTimeoutOrNull(timeoutMs) { read(scorer, target, connection, onResponse) }
                ?: ScoreOutcome.Broken("no complete response within $timeoutMs ms")
        } catch (e: ExchangeFailure) {
            return ScoreOutcome.Broken(e.message.orEmpty())
        } finally {
            connections.release(target.id, connection)
        }
    }

    /** Reason why a call must not be sent to [target] any more; null if it may be. */
    private fun denial(
        target: TargetEntry,
        permit: Permit,
        mayRun: () -> Boolean,
    ): ScoreOutcome? =
        when {
            !permit.isValid() -> ScoreOutcome.NotRun("permit expired", wasOffered = false)
            !mayRun() -> ScoreOutcome.NotRun("the batch may have ended", wasOffered = true)
            isEvacuated(target) -> ScoreOutcome.NotRun("zone under evacuation", wasOffered = true)
            else -> null
        }

    private suspend fun read(
        scorer: ScorerSpec,
        target: TargetEntry,
        connection: HttpConnection,
        onResponse: (ReceivedResponse) -> Unit,
    ): ScoreOutcome {
        val response =
            connections.receiveHead(target.id, connection) ?: return ScoreOutcome.Broken("response to another call")
        onResponse(response)
        val (head, metadata) = response
        metadata.load?.let { onLoadReported(target, it) }
        if (metadata.notRun || head.status == MISDIRECTED) {
            connection.readBody(MAX_ERROR_BYTES)
            return ScoreOutcome.NotRun("status ${head.status}", wasOffered = true)
        }
        if (metadata.isGenuine && metadata.rate == RateStatement.Unlimited) {
            onNoLimitNamed(target.id, connection.sentAtNs)
        }
        connection.readBody(MAX_RESPONSE_BYTES)
        return outcome(scorer, head, metadata)
    }

    private fun outcome(
        scorer: ScorerSpec,
        head: ResponseHead,
        metadata: ResponseMetadata,
    ): ScoreOutcome {
        val receipt = metadata.receipt ?: return ScoreOutcome.Broken("status ${head.status} without a receipt")
        return when (head.status) {
            in SUCCESS -> ScoreOutcome.Scored(Score(scorer.id, receipt))
            // A time-out at the target doesn't mean that the text can't be scored.
            TIMED_OUT -> ScoreOutcome.Broken("status $TIMED_OUT")
            else -> ScoreOutcome.Failed(head.status)
        }
    }

    private companion object {
        val SUCCESS = 200..299
        const val MISDIRECTED = 421
        const val TIMED_OUT = 504
        const val MAX_ERROR_BYTES = 65_536

        /** Only the receipt of a response is used; the body is read to the end so that the connection can be reused. */
        const val MAX_RESPONSE_BYTES = 1_000_000
    }
}
