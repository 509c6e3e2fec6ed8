/*
 * Accepts changes of declarations. A change is accepted by one conditional update of the team's head; the snapshot that
 * the head refers to is written before, under a path of its own. If the store's response is lost, the head's history
 * shows whether the change was accepted.
 */
package io.guavashore.configuration

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrElse
import io.guavashore.api.Declaration
import io.guavashore.api.Revision
import io.guavashore.api.TeamId
import io.guavashore.api.TeamSnapshot
import io.guavashore.platform.ObjectStore
import io.guavashore.platform.ObjectVersion
import io.guavashore.platform.StoreError
import kotlinx.serialization.json.Json

/**
 * Change of a team's declaration, to be accepted only if [basedOn] is still the newest revision.
 *
 * @property basedOn revision that the change is based on, or null for a new team
 * @property changeId unique id of the change, by which its outcome can be looked up
 * @property message description of the change by its [author]
 * @property nowMs Unix time of the change
 */
data class ChangeRequest(
    val declaration: Declaration,
    val basedOn: Revision?,
    val changeId: String,
    val author: String,
    val message: String,
    val nowMs: Long,
)

/** Head of a team, or null before its first change, with the object version that a conditional update has to name. */
data class VersionedHead(
    val head: TeamHead?,
    val version: ObjectVersion,
)

/** Reads and changes teams' declarations in the platform's store. A head keeps the newest [historyLength] changes. */
class ConfigurationStore(
    private val store: ObjectStore,
    private val historyLength: Int = 50,
) {
    /** Reads the head of [team]. */
    suspend fun head(team: TeamId): Result<VersionedHead, StoreError> {
        val stored = store.read(headPath(team)).getOrElse { return Err(it) }
        val head = stored?.let { Json.decodeFromString<TeamHead>(it.value) }
        return Ok(VersionedHead(head, stored?.version ?: ObjectVersion.ABSENT))
    }

    /** Reads the snapshot that [change] of [team] wrote. */
    suspend fun snapshot(
        team: TeamId,
        change: AcceptedChange,
    ): Result<TeamSnapshot, ConfigurationError> {
        val path = snapshotPath(team, change.revision, change.changeId)
        val stored = store.read(path).getOrElse { return Err(ConfigurationError.StoreFailed(it)) }
        if (stored == null) return Err(ConfigurationError.NotFound("$path"))
        return Ok(Json.decodeFromString<TeamSnapshot>(stored.value))
    }

    /** Reads the newest snapshot of [team]; null before the first change. */
    suspend fun newest(team: TeamId): Result<TeamSnapshot?, ConfigurationError> {
        val read = head(team).getOrElse { return Err(ConfigurationError.StoreFailed(it)) }
        val head = read.head ?: return Ok(null)
        return snapshot(team, head.newest)
    }

    /** Accepts [request] as the team's next revision, or returns the reason for refusing it. */
    suspend fun accept(request: ChangeRequest): Result<TeamSnapshot, ConfigurationError> {
        val team = request.declaration.team
        val read = head(team).getOrElse { return Err(ConfigurationError.StoreFailed(it)) }
        val current = read.head?.newest
        if (current?.revision != request.basedOn) {
            return Err(ConfigurationError.Superseded(current?.revision ?: Revision(0)))
        }
        val snapshot =
            TeamSnapshot(
                revision = Revision((current?.revision?.value ?: 0) + 1),
                changeId = request.changeId,
                declaration = request.declaration,
            )
        val previous = current?.let { snapshot(team, it).getOrElse { error -> return Err(error) } }
        val error = checkNoKeyReactivated(previous, snapshot) ?: writeSnapshot(team, snapshot)
        return if (error == null) writeHead(read, request, snapshot) else Err(error)
    }

    private suspend fun writeSnapshot(
        team: TeamId,
        snapshot: TeamSnapshot,
    ): ConfigurationError? {
        val path = snapshotPath(team, snapshot.revision, snapshot.changeId)
        val value = Json.encodeToString(snapshot)
        val error = store.write(path, value, ObjectVersion.ABSENT).getError() ?: return null
        val alreadyWritten = store.read(path).getOrElse { null }?.value == value
        return if (alreadyWritten) null else ConfigurationError.StoreFailed(error)
    }

    private suspend fun writeHead(
        read: VersionedHead,
        request: ChangeRequest,
        snapshot: TeamSnapshot,
    ): Result<TeamSnapshot, ConfigurationError> {
        val change =
            AcceptedChange(
                revision = snapshot.revision,
                changeId = snapshot.changeId,
                author = request.author,
                message = request.message,
                acceptedAtMs = request.nowMs,
            )
        val team = request.declaration.team
        val head = TeamHead(team, (listOf(change) + read.head?.history.orEmpty()).take(historyLength))
        val error = store.write(headPath(team), Json.encodeToString(head), read.version).getError()
        if (error == null) return Ok(snapshot)
        return resolveOutcome(team, request.changeId, snapshot, error)
    }

    /** Reads the head again after a failed write, to find out whether the change is in its history. */
    private suspend fun resolveOutcome(
        team: TeamId,
        changeId: String,
        snapshot: TeamSnapshot,
        error: StoreError,
    ): Result<TeamSnapshot, ConfigurationError> {
        val head = head(team).getOrElse { return Err(ConfigurationError.OutcomeUnknown(changeId, error)) }.head
        if (head?.history.orEmpty().any { it.changeId == changeId }) return Ok(snapshot)
        if (error is StoreError.Unavailable) return Err(ConfigurationError.OutcomeUnknown(changeId, error))
        return Err(ConfigurationError.Superseded(head?.newest?.revision ?: Revision(0)))
    }

    /** Returns an error if the change would reactivate a withdrawn key, such as one from an outdated file. */
    private fun checkNoKeyReactivated(
        previous: TeamSnapshot?,
        next: TeamSnapshot,
    ): ConfigurationError? {
        val withdrawn =
            previous
                ?.declaration
                ?.keys
                .orEmpty()
                .filter { it.withdrawn }
                .map { it.id }
                .toSet()
        val reactivated = next.declaration.keys.filter { it.id in withdrawn && !it.withdrawn }
        if (reactivated.isEmpty()) return null
        val names = reactivated.joinToString { it.id.value }
        return ConfigurationError.Forbidden("withdrawn keys can't be granted again: $names; grant a key with a new id")
    }
}
