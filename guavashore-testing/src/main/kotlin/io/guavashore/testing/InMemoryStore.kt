/*
 * In-memory object store with fault injection; the stand-in platform serves it over HTTP.
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

/** Fault that an [InMemoryStore] injects while it is set. */
enum class StoreFault {
    NONE,

    /** Calls fail and have no effect. */
    DOWN,

    /** Writes take effect, but their responses are lost. */
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
    private val lastRevision = MutableStateFlow(0L)

    /** Number of calls so far, including watches. */
    @Volatile
    var calls = 0L
        private set

    /** This store as the function types of [ObjectStore]. */
    val asStore = ObjectStore(read = ::read, write = ::write, list = ::list, watch = ::watch)

    private suspend fun read(path: ObjectPath): Result<StoredObject?, StoreError> =
        withFault { Ok(synchronized(objects) { objects[path]?.first }) }

    private suspend fun write(
        path: ObjectPath,
        value: String,
        expected: ObjectVersion,
    ): Result<ObjectVersion, StoreError> {
        val outcome = withFault { apply(path, value, expected) }
        if (fault == StoreFault.ANSWER_LOST) return Err(StoreError.Unavailable("response lost"))
        return outcome
    }

    private suspend fun list(prefix: String): Result<List<StoredObject>, StoreError> =
        withFault {
            Ok(changedSince(prefix, 0))
        }

    private suspend fun watch(
        prefix: String,
        cursor: Long,
        waitMs: Long,
    ): Result<WatchBatch, StoreError> =
        withFault {
            withTimeoutOrNull(waitMs) { lastRevision.first { changedSince(prefix, cursor).isNotEmpty() } }
            // Read before the objects, so that the next watch returns what is written in between.
            val watchedTo = lastRevision.value
            val changed = changedSince(prefix, cursor)
            if (fault == StoreFault.DOWN) {
                Err(StoreError.Unavailable("down"))
            } else {
                Ok(WatchBatch(cursor = watchedTo, objects = changed))
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
            return Err(StoreError.Refused("value exceeds $MAX_VALUE_BYTES bytes"))
        }
        synchronized(objects) {
            val current = objects[path]?.first?.version ?: ObjectVersion.ABSENT
            if (current != expected) return Err(StoreError.Conflict(path))
            val stored = StoredObject(path = path, version = ObjectVersion(current.value + 1), value = value)
            val revision = lastRevision.value + 1
            objects[path] = stored to revision
            lastRevision.value = revision
            return Ok(stored.version)
        }
    }

    private fun changedSince(
        prefix: String,
        since: Long,
    ): List<StoredObject> =
        synchronized(objects) {
            objects.values
                .filter { (stored, revision) ->
                    revision > since && stored.path.value.startsWith(prefix)
                }.map { it.first }
        }

    private suspend fun <T> withFault(call: suspend () -> Result<T, StoreError>): Result<T, StoreError> {
        calls++
        if (fault == StoreFault.SLOW) delay(slowMs)
        if (fault == StoreFault.DOWN) return Err(StoreError.Unavailable("down"))
        return call()
    }
}
