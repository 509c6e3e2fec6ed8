/*
 * Adapts the collection of leases in the store to [ObjectStore], which the lease manager uses.
 */
package io.guavashore.edge.coordinator

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import com.github.michaelbull.result.mapError
import io.guavashore.platform.CallStore
import io.guavashore.platform.CollectionName
import io.guavashore.platform.ObjectPath
import io.guavashore.platform.ObjectStore
import io.guavashore.platform.ObjectVersion
import io.guavashore.platform.StoreCall
import io.guavashore.platform.StoreCallError
import io.guavashore.platform.StoreError
import io.guavashore.platform.StoreResponse
import io.guavashore.platform.StoredObject

/** Collection of all leases. */
val LEASES = CollectionName("leases")

/** Path of the coordinator's lease within [LEASES]. */
val COORDINATOR_LEASE = ObjectPath("coordinator")

/** Object store over the collection [LEASES]. Only reads and writes of single objects are supported. */
fun leaseStore(
    call: CallStore,
    timeoutMs: Long,
) = ObjectStore(
    read = { path -> readLease(call, path, timeoutMs) },
    write = { path, value, expected -> writeLease(call, path, value, expected, timeoutMs) },
    list = { Err(StoreError.Refused("listing of leases is not supported")) },
    watch = { _, _, _ -> Err(StoreError.Refused("watching of leases is not supported")) },
)

private suspend fun readLease(
    call: CallStore,
    path: ObjectPath,
    timeoutMs: Long,
): Result<StoredObject?, StoreError> =
    call(StoreCall.Read(LEASES, path.value), timeoutMs)
        .map { response ->
            (response as StoreResponse.Entry).entry?.let { StoredObject(path, ObjectVersion(it.revision), it.content) }
        }.mapError { it.toError(path) }

private suspend fun writeLease(
    call: CallStore,
    path: ObjectPath,
    value: String,
    expected: ObjectVersion,
    timeoutMs: Long,
): Result<ObjectVersion, StoreError> {
    val storeCall =
        if (expected == ObjectVersion.ABSENT) {
            StoreCall.Create(LEASES, path.value, value)
        } else {
            StoreCall.Replace(LEASES, path.value, value, expected.value)
        }
    val outcome = call(storeCall, timeoutMs)
    if (outcome.isErr) return Err(outcome.error.toError(path))
    val entry =
        (outcome.value as StoreResponse.Entry).entry
            ?: return Err(StoreError.Unavailable("store response to the lease write contains no object"))
    return Ok(ObjectVersion(entry.revision))
}

private fun StoreCallError.toError(path: ObjectPath): StoreError =
    when (this) {
        is StoreCallError.Conflict -> StoreError.Conflict(path)
        is StoreCallError.NotDone -> StoreError.Unavailable(reason)
        is StoreCallError.Unknown -> StoreError.Unavailable(reason)
        StoreCallError.HistoryGone, StoreCallError.WatchEnded -> StoreError.Unavailable(message)
    }
