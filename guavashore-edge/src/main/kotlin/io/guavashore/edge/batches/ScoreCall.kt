/*
 * One score call at one target.
 */
package io.guavashore.edge.batches

import io.guavashore.edge.declared.TargetEntry
import io.guavashore.edge.targets.ResponseMetadata
import io.guavashore.edge.targets.ForwardingContext
import io.guavashore.edge.targets.ReportedLoad
import io.guavashore.edge.targets.TargetConnectionPool
import io.guavashore.edge.targets.TargetProtocol
import io.guavashore.net.ResponseHead
import io.guavashore.net.ExchangeFailure
import io.guavashore.net.HttpConnection
import kotlinx.coroutines.withTimeoutOrNull

/** How a score call ended. */
sealed interface ScoreOutcome {
    data class Scored(
        val score: Score,
    ) : ScoreOutcome

    /** The target answered that it can't score the text; counts against the item's attempts. */
    data class Failed(
        val status: Int,
    ) : ScoreOutcome

    /** The target did not take the call. */
    data class NotRun(
        val reason: String,
        val wasOffered: Boolean,
    ) : ScoreOutcome

    /** No answer that can be used came. */
    data class Broken(
        val reason: String,
    ) : ScoreOutcome
}

/** Makes score calls; [reported] hears of the load that answers tell. */
class ScoreCall(
    private val protocol: TargetProtocol,
    private val connections: TargetConnectionPool,
    private val reported: (TargetEntry, ReportedLoad) -> Unit,
) {
    /** Asks [target] to score what [scorer] describes, within [timeMs]. */
    suspend fun run(
        scorer: ScorerSpec,
        target: TargetEntry,
        timeMs: Long,
    ): ScoreOutcome {
        val connection =
            try {
                connections.take(target)
            } catch (e: ExchangeFailure.NotConnected) {
                return ScoreOutcome.NotRun(e.message.orEmpty(), wasOffered = false)
            }
        try {
            connection.send(
                protocol.scoreRequest(scorer, ForwardingContext(target.id, organisation = null, deadlineInMs = timeMs)),
            )
            return withTimeoutOrNull(timeMs) { read(scorer, target, connection) }
                ?: ScoreOutcome.Broken("no whole answer in $timeMs ms")
        } catch (e: ExchangeFailure) {
            return ScoreOutcome.Broken(e.message.orEmpty())
        } finally {
            connections.release(target.id, connection)
        }
    }

    private suspend fun read(
        scorer: ScorerSpec,
        target: TargetEntry,
        connection: HttpConnection,
    ): ScoreOutcome {
        val head = connection.head()
        val metadata = protocol.metadata(head)
        metadata.load?.let { reported(target, it) }
        if (metadata.requestId?.let { it != scorer.id.value } == true) return ScoreOutcome.Broken("answer of another call")
        if (metadata.notRun || head.status == MISDIRECTED) {
            connection.discardBody(MOST_ERROR_BYTES)
            return ScoreOutcome.NotRun("status ${head.status}", wasOffered = true)
        }
        connection.readBody(MOST_ANSWER_BYTES)
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
            // A target that ran out of time says nothing about the text.
            TIMED_OUT -> ScoreOutcome.Broken("status $TIMED_OUT")
            else -> ScoreOutcome.Failed(head.status)
        }
    }

    private companion object {
        val SUCCESS = 200..299
        const val MISDIRECTED = 421
        const val TIMED_OUT = 504
        const val MOST_ERROR_BYTES = 65_536

        /** The answer counts by its receipt; its body is only read to its end. */
        const val MOST_ANSWER_BYTES = 1_000_000
    }
}
