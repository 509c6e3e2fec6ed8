/*
 * Runs a [LeaseStateMachine] against the platform's store.
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
 * Keeps one lease as long as [run] runs.
 *
 * @param isCandidate whether this process should contend; a holder keeps renewing whatever this says. With a few
 * candidates per duty the store's calls do not grow with the fleet.
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
    private var unreadable = false

    @Volatile
    private var current: HeldLease? = null

    /** The lease if it is held at this moment. Ask again right before each effect. */
    fun held(): HeldLease? = current?.takeIf { clock() < it.untilMs }

    /** Contends for the lease and renews it, until cancelled. */
    suspend fun run() {
        while (true) {
            if (held() != null || isCandidate()) step()
            delay(IDLE_POLL_MS)
        }
    }

    /** Takes one step; returns the lease if it is held. */
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

    /** Records [intent] in the store; returns the lease if it is held and holds the intent, else null. */
    suspend fun recordIntent(intent: OrderIntent?): HeldLease? {
        mutex.withLock { machine.setIntent(intent) }
        repeat(RECORD_STEPS) {
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

    /** A lease that can't be read belongs to somebody; it is not taken. */
    private fun decode(found: StoredObject): LeaseRecord? =
        try {
            Json.decodeFromString<LeaseRecord>(found.value)
        } catch (e: SerializationException) {
            if (!unreadable) log.warn { "$path can't be read; this VM may need a newer version" }
            unreadable = true
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
        if (before == null && after != null) log.info { "lease taken: $path, fencing number ${after.fencingNumber}" }
        if (before != null && after == null) log.warn { "lease lost: $path" }
    }

    private companion object {
        const val RECORD_STEPS = 10
        const val IDLE_POLL_MS = 500L
    }
}
