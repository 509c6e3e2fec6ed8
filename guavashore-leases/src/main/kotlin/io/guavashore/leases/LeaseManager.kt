/*
 * Runs a [LeaseStateMachine] on the platform's store.
 */
package io.guavashore.leases

import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import io.github.oshai.kotlinlogging.KotlinLogging
import io.guavashore.api.MonotonicClock
import io.guavashore.platform.ObjectPath
import io.guavashore.platform.ObjectStore
import io.guavashore.platform.ObjectVersion
import io.guavashore.platform.StoreError
import io.guavashore.platform.StoredObject
import kotlinx.coroutines.delay
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

private val log = KotlinLogging.logger {}

/**
 * Acquires and renews one lease while [run] is running.
 *
 * @param pollMs interval between attempts to record an intent
 * @param isCandidate whether this process should contend for the lease; a holder renews it regardless. Limiting the
 * candidates to a few per lease keeps the number of store calls independent of the number of VMs.
 */
class LeaseManager(
    private val path: ObjectPath,
    private val machine: LeaseStateMachine,
    private val store: ObjectStore,
    private val clock: MonotonicClock,
    private val pollMs: Long = 200,
    private val isCandidate: () -> Boolean = { true },
) {
    private val mutex = Mutex()
    private var unreadableLogged = false

    @Volatile
    private var current: HeldLease? = null

    /** The lease if it is held now, else null. To be checked again immediately before each action under the lease. */
    fun held(): HeldLease? = current?.takeIf { clock() < it.untilMs }

    /** Contends for the lease and renews it until cancelled. */
    suspend fun run() {
        while (true) {
            if (held() != null || isCandidate()) step()
            delay(STEP_INTERVAL_MS)
        }
    }

    /** Performs the state machine's next action; returns the lease if it is held, else null. */
    suspend fun step(): HeldLease? =
        mutex.withLock {
            val before = current
            when (val action = machine.next(clock())) {
                LeaseAction.Wait -> Unit
                LeaseAction.Read -> read()
                is LeaseAction.Write -> write(action)
            }
            current = machine.heldAt(clock())
            logChange(before, current)
            current
        }

    /**
     * Records [intent] in the store, or removes the recorded one if it is null.
     *
     * @return the lease, or null if it is not held or the intent was not recorded within [MAX_RECORD_STEPS] steps
     */
    suspend fun recordIntent(intent: OrderIntent?): HeldLease? {
        mutex.withLock { machine.setIntent(intent) }
        repeat(MAX_RECORD_STEPS) {
            step()
            val recorded = mutex.withLock { machine.intentIsRecorded(clock()) }
            if (recorded) return held()
            delay(pollMs)
        }
        return null
    }

    private suspend fun read() {
        store
            .read(path)
            .onSuccess { found ->
                val version = found?.version ?: ObjectVersion.ABSENT
                val record = found?.let(::decode)
                if (found != null &&
                    record == null
                ) {
                    machine.onUnavailable(clock())
                } else {
                    machine.onRead(version, record, clock())
                }
            }.onFailure { machine.onUnavailable(clock()) }
    }

    /** Returns null if the record can't be decoded: the lease is then treated as held by another process. */
    private fun decode(found: StoredObject): LeaseRecord? =
        try {
            Json.decodeFromString<LeaseRecord>(found.value)
        } catch (e: SerializationException) {
            if (!unreadableLogged) {
                log.warn { "lease record can't be decoded; this VM may need a newer version: path=$path" }
            }
            unreadableLogged = true
            null
        }

    private suspend fun write(action: LeaseAction.Write) {
        store
            .write(path, Json.encodeToString(action.record), action.expected)
            .onSuccess { machine.onWritten(it) }
            .onFailure { error ->
                when (error) {
                    is StoreError.Conflict, is StoreError.Refused -> machine.onConflict()
                    is StoreError.Unavailable -> machine.onUnavailable(clock())
                }
            }
    }

    private fun logChange(
        before: HeldLease?,
        after: HeldLease?,
    ) {
        if (before == null && after != null) log.info { "lease taken: path=$path fence=${after.fencingNumber}" }
        if (before != null && after == null) log.warn { "lease lost: path=$path" }
    }

    private companion object {
        const val MAX_RECORD_STEPS = 10
        const val STEP_INTERVAL_MS = 500L
    }
}
