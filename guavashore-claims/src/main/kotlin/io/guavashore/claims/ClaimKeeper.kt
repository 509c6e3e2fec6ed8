/*
 * Keeps claims in the platform's store, several in one object, so that old ones are dropped as new ones are written
 * and the store does not fill up. A claim counts once its conditional update has taken effect; if the answer was
 * lost, the object is read back.
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

/** Claims of one store object, by service and key. */
@Serializable
internal data class ClaimBucket(
    val claims: Map<String, Claim> = emptyMap(),
)

/** Keeper of all claims. Any number of keepers may work on one store. */
class ClaimKeeper(
    private val store: ObjectStore,
    private val wallClock: WallClock,
    private val keepMs: Long = 86_400_000,
    private val buckets: Int = 256,
    private val maxAnswerBytes: Int = 2_048,
) {
    private sealed interface Change {
        /** The change has taken effect, or was not needed. */
        data object Applied : Change

        data class Refused(
            val claim: Claim,
        ) : Change

        data class Failed(
            val error: StoreError,
        ) : Change
    }

    /** Claims [key] for [attempt]. */
    suspend fun claim(
        key: ClaimKey,
        attempt: AttemptId,
    ): ClaimOutcome {
        val change =
            change(key) { current ->
                if (current == null || current.released) Claim(attempt, wallClock()) else current
            }
        return when (change) {
            is Change.Failed -> ClaimOutcome.Unavailable(change.error.message)
            is Change.Refused ->
                if (change.claim.attempt ==
                    attempt
                ) {
                    ClaimOutcome.Granted
                } else {
                    ClaimOutcome.Taken(change.claim.answer)
                }
            Change.Applied -> ClaimOutcome.Granted
        }
    }

    /** Records the answer of the claim's request; true if it is recorded. */
    suspend fun finish(
        key: ClaimKey,
        attempt: AttemptId,
        answer: RecordedAnswer,
    ): Boolean {
        if (answer.body.size > maxAnswerBytes) return false
        return change(key) { current ->
            if (current?.attempt ==
                attempt
            ) {
                current.copy(answer = answer)
            } else {
                current
            }
        } is Change.Applied
    }

    /** Frees the key of a request that is known not to have run; true if it is free. */
    suspend fun release(
        key: ClaimKey,
        attempt: AttemptId,
    ): Boolean =
        change(key) { current ->
            if (current?.attempt ==
                attempt
            ) {
                current.copy(released = true)
            } else {
                current
            }
        } is Change.Applied

    /** Applies [edit] to the key's claim; an unchanged claim is refused with what it is. */
    private suspend fun change(
        key: ClaimKey,
        edit: (Claim?) -> Claim?,
    ): Change {
        repeat(TRIES) {
            val found = store.read(pathOf(key)).getOrElse { return Change.Failed(it) }
            val bucket = found?.let { Json.decodeFromString<ClaimBucket>(it.value) } ?: ClaimBucket()
            val current = bucket.claims[nameOf(key)]
            val next = edit(current)
            if (next == null) return Change.Applied
            if (next == current) return Change.Refused(current)
            val kept = bucket.claims.filterValues { it.atMs >= wallClock() - keepMs } + (nameOf(key) to next)
            val version = found?.version ?: ObjectVersion.ABSENT
            val written = store.write(pathOf(key), Json.encodeToString(ClaimBucket(kept)), version)
            if (written.isOk) return Change.Applied
            // Conflict or lost answer: what the next read shows decides.
        }
        return Change.Failed(StoreError.Unavailable("too many writers"))
    }

    private fun pathOf(key: ClaimKey) = ObjectPath("claims/${key.team}/${key.organisation}/${key.bucket(buckets)}")

    private fun nameOf(key: ClaimKey) = "${key.service}/${key.key}"

    private companion object {
        const val TRIES = 8
    }
}
