/*
 * One run of an item on an engine.
 */
package io.guavashore.edge.batches

import io.guavashore.api.MonotonicClock
import io.guavashore.api.OrganisationId
import io.guavashore.edge.declared.TargetEntry
import io.guavashore.edge.targets.ResponseMetadata
import io.guavashore.edge.targets.EventReader
import io.guavashore.edge.targets.ForwardingContext
import io.guavashore.edge.targets.StreamEvent
import io.guavashore.edge.targets.StreamIdleTimer
import io.guavashore.edge.targets.TargetConnectionPool
import io.guavashore.edge.targets.TargetDirectory
import io.guavashore.edge.targets.TargetProtocol
import io.guavashore.net.ResponseHead
import io.guavashore.net.ExchangeFailure
import io.guavashore.net.HttpConnection
import kotlinx.coroutines.withTimeoutOrNull

/** How a run ended. */
sealed interface RunOutcome {
    data object Completed : RunOutcome

    /** The engine failed the run; counts against the item's attempts. */
    data object Failed : RunOutcome

    /** The engine says that the item can never be done. */
    data object Impossible : RunOutcome

    /** The engine did not take the request. */
    data class NotRun(
        val reason: String,
        val wasOffered: Boolean,
    ) : RunOutcome

    /** The run broke off; its text so far holds unless [discard]. */
    data class Broken(
        val reason: String,
        val discard: Boolean = false,
    ) : RunOutcome
}

/** Runs items on engines. */
class ItemCall(
    private val protocol: TargetProtocol,
    private val connections: TargetConnectionPool,
    private val directory: TargetDirectory,
    private val pace: EnginePace,
    private val clock: MonotonicClock,
) {
    /** Runs [item] on [engine] from where its text stands; events are added to its progress. */
    suspend fun run(
        item: ItemState,
        engine: TargetEntry,
        host: String,
        organisation: OrganisationId,
        deadlineInMs: Long,
    ): RunOutcome {
        val connection =
            try {
                connections.take(engine)
            } catch (e: ExchangeFailure.NotConnected) {
                directory.recordFailure(engine.id)
                return RunOutcome.NotRun(e.message.orEmpty(), wasOffered = false)
            }
        try {
            val terms = ForwardingContext(engine.id, organisation, deadlineInMs, item.progress.lastEventId)
            connection.send(protocol.itemRequest(item.spec, host, terms))
            return read(item, engine, connection)
        } catch (e: ExchangeFailure) {
            return RunOutcome.Broken(e.message.orEmpty())
        } finally {
            connections.release(engine.id, connection)
        }
    }

    private suspend fun read(
        item: ItemState,
        engine: TargetEntry,
        connection: HttpConnection,
    ): RunOutcome {
        val head =
            withTimeoutOrNull(FIRST_ANSWER_MS) { connection.head() }
                ?: return RunOutcome.Broken("no answer in $FIRST_ANSWER_MS ms")
        val metadata = protocol.metadata(head)
        if (head.status != OK) return refusal(head, metadata, connection)
        if (!metadata.isGenuine || metadata.requestId?.let { it != item.spec.id.value } == true) {
            return RunOutcome.Broken("answer of another request")
        }
        return readEvents(item, engine, connection, metadata.weightVersion)
    }

    private suspend fun refusal(
        head: ResponseHead,
        metadata: ResponseMetadata,
        connection: HttpConnection,
    ): RunOutcome {
        withTimeoutOrNull(FIRST_ANSWER_MS) { connection.discardBody(MOST_ERROR_BYTES) }
        return when {
            metadata.notRun || head.status == MISDIRECTED ->
                RunOutcome.NotRun("status ${head.status}", wasOffered = true)
            head.status == IMPOSSIBLE -> RunOutcome.Impossible
            head.status == FAILED -> RunOutcome.Failed
            else -> RunOutcome.Broken("status ${head.status}")
        }
    }

    private suspend fun readEvents(
        item: ItemState,
        engine: TargetEntry,
        connection: HttpConnection,
        versionAtStart: Long?,
    ): RunOutcome {
        val run = EventRun(item, engine, versionAtStart)
        val silence = StreamIdleTimer(clock)
        while (true) {
            val longestMs = pace.longestSilenceMs(engine.id)
            val part = connection.nextPartWithin(silence.waitMs(longestMs)) ?: return silent(longestMs)
            val known = item.progress.size
            val problem = run.take(part.bytes ?: return run.end())
            if (problem != null) return problem
            if (item.progress.size > known) silence.eventReceived()
            if (silence.hasExceeded(longestMs)) return silent(longestMs)
        }
    }

    private fun silent(longestMs: Long) = RunOutcome.Broken("no event in $longestMs ms")

    /** Events of one run. A run that goes on after the last event has nothing to make, and names no version. */
    private inner class EventRun(
        private val item: ItemState,
        private val engine: TargetEntry,
        private var version: Long?,
    ) {
        private val reader = EventReader()
        private var lastEventMs = 0L

        /** Adds the events that [bytes] complete; returns why the run can't go on, or null. */
        fun take(bytes: ByteArray): RunOutcome? = reader.take(bytes).firstNotNullOfOrNull(::take)

        fun end(): RunOutcome =
            when {
                !reader.isBetweenEvents -> RunOutcome.Broken("stream ended within an event")
                item.progress.size == 0 -> RunOutcome.Broken("stream without events")
                else -> RunOutcome.Completed
            }

        private fun take(event: StreamEvent): RunOutcome? {
            if (event.isComment) return null
            version = event.lines.firstNotNullOfOrNull(protocol.eventVersion) ?: version
            val made = version ?: return RunOutcome.Broken("no version of the weights")
            item.batch.record.model
                ?.let { directory.recordVersion(engine.id, it, made) }
            val now = clock()
            if (lastEventMs > 0) pace.record(engine.id, (now - lastEventMs).toDouble())
            lastEventMs = now
            return add(item, event, made)
        }
    }

    private fun add(
        item: ItemState,
        event: StreamEvent,
        version: Long,
    ): RunOutcome? {
        val id = event.id ?: return RunOutcome.Broken("event without a number")
        return when (val fit = item.progress.add(TextEvent(id, event.data, version))) {
            EventFit.ADDED -> null
            EventFit.OTHER_VERSION -> RunOutcome.Broken("$fit", discard = true)
            EventFit.OUT_OF_ORDER, EventFit.TOO_OLD -> RunOutcome.Broken("$fit")
        }
    }

    private companion object {
        const val OK = 200
        const val FAILED = 500
        const val IMPOSSIBLE = 422
        const val MISDIRECTED = 421
        const val MOST_ERROR_BYTES = 65_536

        /** A queue at the engine and a load of weights may come before the first event. */
        const val FIRST_ANSWER_MS = 3_000L
    }
}
