/*
 * Object store in memory with fault switches; the stand-in platform serves the same one over HTTP.
 */
package io.guavashore.testing

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.guavashore.platform.MAX_VALUE_BYTES
import io.guavashore.platform.ObjectPath
import io.guavashore.platform.ObjectStore
import io.guavashore.platform.ObjectVersion
import io.guavashore.platform.StoreError
import io.guavashore.platform.StoredObject
import io.guavashore.platform.WatchBatch
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull

/** Faults that the store shows while set. */
enum class StoreFault {
    NONE,

    /** Calls fail and have no effect. */
    DOWN,

    /** Writes take effect, but their answers are lost. */
    ANSWER_LOST,

    /** Calls take [InMemoryStore.slowMs] longer. */
    SLOW,
}

/** Versioned objects in memory. Thread-safe. */
class InMemoryStore {
    @Volatile
    var fault = StoreFault.NONE

    @Volatile
    var slowMs = 500L

    private val objects = HashMap<ObjectPath, Pair<StoredObject, Long>>()
    private val changes = MutableStateFlow(0L)

    /** Calls so far, watches included. */
    @Volatile
    var calls = 0L
        private set

    /** Function types over this store. */
    val asStore = ObjectStore(read = ::read, write = ::write, list = ::list, watch = ::watch)

    private suspend fun read(path: ObjectPath): Result<StoredObject?, StoreError> =
        guarded { Ok(synchronized(objects) { objects[path]?.first }) }

    private suspend fun write(
        path: ObjectPath,
        value: String,
        expected: ObjectVersion,
    ): Result<ObjectVersion, StoreError> {
        val answer = guarded { apply(path, value, expected) }
        if (fault == StoreFault.ANSWER_LOST) return Err(StoreError.Unavailable("answer lost"))
        return answer
    }

    private suspend fun list(prefix: String): Result<List<StoredObject>, StoreError> =
        guarded {
            Ok(changedSince(prefix, 0))
        }

    private suspend fun watch(
        prefix: String,
        cursor: Long,
        waitMs: Long,
    ): Result<WatchBatch, StoreError> =
        guarded {
            withTimeoutOrNull(waitMs) { changes.first { changedSince(prefix, cursor).isNotEmpty() } }
            val changed = changedSince(prefix, cursor)
            if (fault == StoreFault.DOWN) {
                Err(StoreError.Unavailable("down"))
            } else {
                Ok(WatchBatch(cursor = changes.value, objects = changed))
            }
        }

    private fun apply(
        path: ObjectPath,
        value: String,
        expected: ObjectVersion,
    ): Result<ObjectVersion, StoreError> {
        if (value.toByteArray().size >
            MAX_VALUE_BYTES
        ) {
            return Err(StoreError.Refused("value over $MAX_VALUE_BYTES bytes"))
        }
        synchronized(objects) {
            val current = objects[path]?.first?.version ?: ObjectVersion.ABSENT
            if (current != expected) return Err(StoreError.Conflict(path))
            val stored = StoredObject(path = path, version = ObjectVersion(current.value + 1), value = value)
            val next = changes.value + 1
            objects[path] = stored to next
            changes.value = next
            return Ok(stored.version)
        }
    }

    private fun changedSince(
        prefix: String,
        since: Long,
    ): List<StoredObject> =
        synchronized(objects) {
            objects.values
                .filter { (stored, at) ->
                    at > since && stored.path.value.startsWith(prefix)
                }.map { it.first }
        }

    private suspend fun <T> guarded(call: suspend () -> Result<T, StoreError>): Result<T, StoreError> {
        calls++
        if (fault == StoreFault.SLOW) delay(slowMs)
        if (fault == StoreFault.DOWN) return Err(StoreError.Unavailable("down"))
        return call()
    }
}
