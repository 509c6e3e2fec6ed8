/*
 * Stores claims in the platform's store. Each store object is a bucket of several claims: a write to a bucket also
 * drops its expired claims, so that the store's size stays bounded. A claim is granted once its conditional update has
 * taken effect; if the store's response was lost, the object is read again to find out.
 */
package io.guavashore.claims

import com.github.michaelbull.result.getOrElse
import io.guavashore.api.AttemptId
import io.guavashore.api.WallClock
import io.guavashore.platform.ObjectPath
import io.guavashore.platform.ObjectStore
import io.guavashore.platform.ObjectVersion
import io.guavashore.platform.StoreError
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** Content of one store object: claims by `service/key`. */
@Serializable
internal data class ClaimBucket(
    val claims: Map<String, Claim> = emptyMap(),
)

/**
 * Grants, completes and releases claims. Any number of instances may use the same store at once.
 *
 * Claims older than [retentionMs] are dropped. Responses with a body longer than [maxResponseBytes] are not recorded.
 */
class ClaimStore(
    private val store: ObjectStore,
    private val wallClock: WallClock,
    private val retentionMs: Long = 86_400_000,
    private val buckets: Int = 256,
    private val maxResponseBytes: Int = 2_048,
) {
    private sealed interface UpdateResult {
        /** The claim was written, or there was none to write. */
        data object Applied : UpdateResult

        /** Nothing was written, since the edit did not change the claim. */
        data class Unchanged(
            val claim: Claim,
        ) : UpdateResult

        data class Failed(
            val error: StoreError,
        ) : UpdateResult
    }

    /** Claims [key] for [attempt]. Granted again if [attempt] holds the claim already. */
    suspend fun claim(
        key: ClaimKey,
        attempt: AttemptId,
    ): ClaimOutcome {
        val result =
            update(key) { current ->
                if (current == null || current.released) Claim(attempt, wallClock()) else current
            }
        return when (result) {
            is UpdateResult.Failed -> ClaimOutcome.Unavailable(result.error.message)
            is UpdateResult.Unchanged ->
                if (result.claim.attempt ==
                    attempt
                ) {
                    ClaimOutcome.Granted
                } else {
                    ClaimOutcome.Taken(result.claim.response)
                }
            UpdateResult.Applied -> ClaimOutcome.Granted
        }
    }

    /** Records the response to the request that [attempt] ran; returns true if it was recorded. */
    suspend fun finish(
        key: ClaimKey,
        attempt: AttemptId,
        response: RecordedResponse,
    ): Boolean {
        if (response.body.size > maxResponseBytes) return false
        return update(key) { current ->
            if (current?.attempt ==
                attempt
            ) {
                current.copy(response = response)
            } else {
                current
            }
        } is UpdateResult.Applied
    }

    /** Releases [key] after [attempt] is known not to have run the request; returns true if it was released. */
    suspend fun release(
        key: ClaimKey,
        attempt: AttemptId,
    ): Boolean =
        update(key) { current ->
            if (current?.attempt ==
                attempt
            ) {
                current.copy(released = true)
            } else {
                current
            }
        } is UpdateResult.Applied

    /** Applies [edit] to the claim of [key], or to null if there is none. Retries the update on conflict. */
    private suspend fun update(
        key: ClaimKey,
        edit: (Claim?) -> Claim?,
    ): UpdateResult {
        repeat(MAX_WRITE_ATTEMPTS) {
            val stored = store.read(bucketPath(key)).getOrElse { return UpdateResult.Failed(it) }
            val bucket = stored?.let { Json.decodeFromString<ClaimBucket>(it.value) } ?: ClaimBucket()
            val current = bucket.claims[claimName(key)]
            val edited = edit(current)
            if (edited == null) return UpdateResult.Applied
            if (edited == current) return UpdateResult.Unchanged(current)
            val retained =
                bucket.claims.filterValues { it.atMs >= wallClock() - retentionMs } + (claimName(key) to edited)
            val version = stored?.version ?: ObjectVersion.ABSENT
            val written = store.write(bucketPath(key), Json.encodeToString(ClaimBucket(retained)), version)
            if (written.isOk) return UpdateResult.Applied
            // Conflict or lost response: the next read shows whether the write took effect.
        }
        return UpdateResult.Failed(StoreError.Unavailable("claim not written in $MAX_WRITE_ATTEMPTS attempts"))
    }

    private fun bucketPath(key: ClaimKey) = ObjectPath("claims/${key.team}/${key.organisation}/${key.bucket(buckets)}")

    private fun claimName(key: ClaimKey) = "${key.service}/${key.key}"

    private companion object {
        const val MAX_WRITE_ATTEMPTS = 8
    }
}
