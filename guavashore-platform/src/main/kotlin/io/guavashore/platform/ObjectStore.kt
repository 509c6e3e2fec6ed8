/*
 * The platform's versioned object API, as function types. Only an adapter knows the wire format.
 */
package io.guavashore.platform

import com.github.michaelbull.result.Result
import kotlinx.serialization.Serializable

/** Path of an object, such as `teams/umhlanga/head`. */
@JvmInline
@Serializable
value class ObjectPath(
    val value: String,
) {
    override fun toString() = value
}

/** Version of an object; 0 stands for an object that does not exist. */
@JvmInline
@Serializable
value class ObjectVersion(
    val value: Long,
) {
    companion object {
        val ABSENT = ObjectVersion(0)
    }
}

/** Object as read from the store; [value] is at most [MAX_VALUE_BYTES] long. */
@Serializable
data class StoredObject(
    val path: ObjectPath,
    val version: ObjectVersion,
    val value: String,
)

/** Max size of a value that the platform accepts. */
const val MAX_VALUE_BYTES = 1_000_000

/** Why a call to the store failed. */
sealed interface StoreError {
    val message: String

    /** The object's version was not the expected one; nothing was written. */
    data class Conflict(
        val path: ObjectPath,
    ) : StoreError {
        override val message = "$path was changed by another writer; read it again and reapply the change"
    }

    /** The store refused the call; nothing was written. */
    data class Refused(
        val reason: String,
    ) : StoreError {
        override val message = "the platform's store refused the call: $reason"
    }

    /** No response. A write may or may not have taken effect: read the object back before relying on it. */
    data class Unavailable(
        val reason: String,
    ) : StoreError {
        override val message = "the platform's store did not respond ($reason); retry once it is reachable"
    }
}

/** Reads one object; returns null if it does not exist. */
typealias ReadObject = suspend (path: ObjectPath) -> Result<StoredObject?, StoreError>

/** Writes [StoredObject.value] if the object still has the expected version; returns the new version. */
typealias WriteObject = suspend (
    path: ObjectPath,
    value: String,
    expected: ObjectVersion,
) -> Result<ObjectVersion, StoreError>

/** Lists all objects whose path starts with the prefix. */
typealias ListObjects = suspend (prefix: String) -> Result<List<StoredObject>, StoreError>

/** Waits up to `waitMs` for a change after the cursor to an object under the prefix; returns the changes. */
typealias WatchObjects = suspend (prefix: String, cursor: Long, waitMs: Long) -> Result<WatchBatch, StoreError>

/** Changes since a cursor; only the newest version of each object is included. */
@Serializable
data class WatchBatch(
    val cursor: Long,
    val objects: List<StoredObject>,
)

/** Operations of the store, provided by an adapter, or by an in-memory fake in tests. */
class ObjectStore(
    val read: ReadObject,
    val write: WriteObject,
    val list: ListObjects,
    val watch: WatchObjects,
)
