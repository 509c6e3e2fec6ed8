/*
 * One run of an item on an engine.
 */
package io.guavashore.edge.batches

import io.github.oshai.kotlinlogging.KotlinLogging
import io.guavashore.api.MonotonicClock
import io.guavashore.edge.declared.TargetEntry
import io.guavashore.edge.limits.OnNoLimitNamed
import io.guavashore.edge.limits.Permit
import io.guavashore.edge.limits.RateStatement
import io.guavashore.edge.targets.EventReader
import io.guavashore.edge.targets.ForwardingContext
import io.guavashore.edge.targets.ReceivedResponse
import io.guavashore.edge.targets.ResponseMetadata
import io.guavashore.edge.targets.StreamEvent
import io.guavashore.edge.targets.StreamIdleTimer
import io.guavashore.edge.targets.TargetConnectionPool
import io.guavashore.edge.targets.TargetDirectory
import io.guavashore.edge.targets.TargetProtocol
import io.guavashore.net.ExchangeFailure
import io.guavashore.net.HttpConnection
import io.guavashore.net.ResponseHead
import kotlinx.coroutines.withTimeoutOrNull

private val log = KotlinLogging.logger {}

/** Outcome of a run. Its string form is logged. */
sealed interface RunOutcome {
    data object Completed : RunOutcome

    /** The engine reported a failure; counts against the item's attempts. */
    data object Failed : RunOutcome

    /** The engine reported that the item can never be processed. */
    data object Impossible : RunOutcome

    /** The engine did not run the request; [wasOffered] is false if no connection could be made. */
    data class NotRun(
        val reason: String,
        val wasOffered: Boolean,
    ) : RunOutcome

    /** The run broke off. The text so far stays valid, unless [discard] is true. */
    data class Broken(
        val reason: String,
        val discard: Boolean = false,
    ) : RunOutcome
}

/**
 * Runs items on engines.
 *
 * @param knowledgeAgeMs age of the knowledge on which [mayRun] decides; null if there is none
 * @param mayRun whether items of a batch may be sent now; asked just before sending, as opening a connection takes time
 */
class ItemCall(
    private val protocol: TargetProtocol,
    private val connections: TargetConnectionPool,
    private val directory: TargetDirectory,
    private val pace: EnginePace,
    private val onNoLimitNamed: OnNoLimitNamed,
    private val clock: MonotonicClock,
    private val knowledgeAgeMs: () -> Long? = { null },
    private val mayRun: (BatchState) -> Boolean = { true },
) {
    /**
     * Runs [item] on [engine] under [permit], resuming after the last event of its text, and adds new events to its
     * progress.
     *
     * @param deadlineInMs time left until the item is given up, passed on to the engine
     * @param onResponse called with the beginning of the response from which the outcome is taken
     */
    suspend fun run(
        item: ItemState,
        engine: TargetEntry,
        permit: Permit,
        deadlineInMs: Long,
        onResponse: (ReceivedResponse) -> Unit = {},
    ): RunOutcome {
        val connection =
            try {
                connections.take(engine, requestId = item.spec.id.value)
            } catch (e: ExchangeFailure.NotConnected) {
                directory.recordFailure(engine.id)
                return RunOutcome.NotRun(e.message.orEmpty(), wasOffered = false)
            }
        try {
            denial(item, engine, permit)?.let { return it }
            val record = item.batch.record
            val context = ForwardingContext(engine.id, record.organisation, deadlineInMs, item.progress.lastEventId)
            connection.send(protocol.itemRequest(item.spec, record.host, context), item.spec.id.value)
            log.info {
                "item sent: item=${item.spec.id} batch=${item.batch.id} engine=${engine.id} ${connection.logFields} " +
                    "from=${item.progress.size} knowledge_age_ms=${knowledgeAgeMs()}"
            }
            return read(item, engine, connection, onResponse)
        } catch (e: ExchangeFailure) {
            return RunOutcome.Broken(e.message.orEmpty())
        } finally {
            connections.release(engine.id, connection)
        }
    }

    /** Reason why [item] must not be sent any more; null if it may be. */
    private fun denial(
        item: ItemState,
        engine: TargetEntry,
        permit: Permit,
    ): RunOutcome? =
        when {
            !permit.isValid() -> RunOutcome.NotRun("permit expired", wasOffered = false)
            !mayRun(item.batch) -> RunOutcome.NotRun("the batch may have ended", wasOffered = false)
            directory.isEvacuated(engine) -> RunOutcome.NotRun("zone under evacuation", wasOffered = true)
            else -> null
        }

    private suspend fun read(
        item: ItemState,
        engine: TargetEntry,
        connection: HttpConnection,
        onResponse: (ReceivedResponse) -> Unit,
    ): RunOutcome {
        val response =
            withTimeoutOrNull(FIRST_RESPONSE_TIMEOUT_MS) { connections.receiveHead(engine.id, connection) }
                ?: return RunOutcome.Broken("no response to this request")
        onResponse(response)
        val (head, metadata) = response
        if (head.status != OK) return refusal(head, metadata, connection)
        if (!metadata.isGenuine) return RunOutcome.Broken("response without a receipt")
        if (metadata.rate == RateStatement.Unlimited) onNoLimitNamed(engine.id, connection.sentAtNs)
        return readEvents(item, engine, connection, metadata.weightVersion)
    }

    private suspend fun refusal(
        head: ResponseHead,
        metadata: ResponseMetadata,
        connection: HttpConnection,
    ): RunOutcome {
        withTimeoutOrNull(FIRST_RESPONSE_TIMEOUT_MS) { connection.readBody(MAX_ERROR_BYTES) }
            ?: return RunOutcome.Broken("response with status ${head.status} did not end in time")
        return when {
            metadata.notRun || head.status == MISDIRECTED ->
                RunOutcome.NotRun("status ${head.status}", wasOffered = true)
            // Only a response that names the item may count against it.
            metadata.requestId == null -> RunOutcome.Broken("status ${head.status} without a request id")
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
        val idleTimer = StreamIdleTimer(clock)
        while (true) {
            val maxSilenceMs = pace.maxSilenceMs(engine.id)
            val part = connection.nextPartWithin(idleTimer.waitMs(maxSilenceMs)) ?: return silenceOutcome(maxSilenceMs)
            val eventsBefore = item.progress.size
            val failure = run.take(part.bytes ?: return run.end())
            if (failure != null) return failure
            if (item.progress.size > eventsBefore) idleTimer.eventReceived()
            if (idleTimer.hasExceeded(maxSilenceMs)) return silenceOutcome(maxSilenceMs)
        }
    }

    private fun silenceOutcome(maxSilenceMs: Long) = RunOutcome.Broken("no event within $maxSilenceMs ms")

    /**
     * Reads the events of one run. A run that resumes after the final event generates nothing, so its stream names no
     * version of the weights; [version] is therefore required only when an event arrives.
     */
    private inner class EventRun(
        private val item: ItemState,
        private val engine: TargetEntry,
        private var version: Long?,
    ) {
        private val reader = EventReader()
        private var lastEventMs = 0L

        /** Adds the events that [bytes] complete. Returns the reason why the run can't continue; null if it can. */
        fun take(bytes: ByteArray): RunOutcome? = reader.take(bytes).firstNotNullOfOrNull(::take)

        /** Outcome of the run when its stream has ended. */
        fun end(): RunOutcome =
            when {
                !reader.isBetweenEvents -> RunOutcome.Broken("stream ended within an event")
                item.progress.size == 0 -> RunOutcome.Broken("stream without events")
                else -> RunOutcome.Completed
            }

        private fun take(event: StreamEvent): RunOutcome? {
            if (event.isComment) return null
            version = event.lines.firstNotNullOfOrNull(protocol.eventVersion) ?: version
            val eventVersion = version ?: return RunOutcome.Broken("event without a version of the weights")
            item.batch.record.model
                ?.let { directory.recordVersion(engine.id, it, eventVersion) }
            val now = clock()
            if (lastEventMs > 0) pace.record(engine.id, (now - lastEventMs).toDouble())
            lastEventMs = now
            return add(item, engine, event, eventVersion)
        }
    }

    private fun add(
        item: ItemState,
        engine: TargetEntry,
        event: StreamEvent,
        version: Long,
    ): RunOutcome? {
        val id = event.id ?: return RunOutcome.Broken("event without an id")
        return when (val result = item.progress.add(TextEvent(id, event.data, version, engine.software))) {
            AppendResult.ADDED -> null
            AppendResult.OTHER_VERSION, AppendResult.OTHER_SOFTWARE -> RunOutcome.Broken("$result", discard = true)
            AppendResult.OUT_OF_ORDER, AppendResult.TOO_OLD -> RunOutcome.Broken("$result")
        }
    }

    private companion object {
        const val OK = 200
        const val FAILED = 500
        const val IMPOSSIBLE = 422
        const val MISDIRECTED = 421
        const val MAX_ERROR_BYTES = 65_536

        /** Leaves time for queueing at the engine and for loading weights. */
        const val FIRST_RESPONSE_TIMEOUT_MS = 3_000L
    }
}
