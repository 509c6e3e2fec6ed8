/*
 * Acceptance of declarations. A change is accepted by one conditional update of the team's head; the snapshot it
 * names was written before under a name of its own. If the answer is lost, the head's history tells the outcome.
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

/** Who changes what, and on which revision the change is based. */
data class ChangeRequest(
    val declaration: Declaration,
    val basedOn: Revision?,
    val changeId: String,
    val author: String,
    val message: String,
    val nowMs: Long,
)

/** Head as read, with the version needed to change it. */
data class ReadHead(
    val head: TeamHead?,
    val version: ObjectVersion,
)

/** Reads and changes teams' declarations in the platform's store. */
class ConfigurationStore(
    private val store: ObjectStore,
    private val historyLength: Int = 50,
) {
    /** Head of [team]; its head is null before the first change. */
    suspend fun head(team: TeamId): Result<ReadHead, StoreError> {
        val found = store.read(headPath(team)).getOrElse { return Err(it) }
        val head = found?.let { Json.decodeFromString<TeamHead>(it.value) }
        return Ok(ReadHead(head, found?.version ?: ObjectVersion.ABSENT))
    }

    /** Snapshot that [change] of [team] names. */
    suspend fun snapshot(
        team: TeamId,
        change: AcceptedChange,
    ): Result<TeamSnapshot, ConfigurationError> {
        val path = snapshotPath(team, change.revision, change.changeId)
        val found = store.read(path).getOrElse { return Err(ConfigurationError.StoreFailed(it)) }
        if (found == null) return Err(ConfigurationError.NotFound("$path"))
        return Ok(Json.decodeFromString<TeamSnapshot>(found.value))
    }

    /** Newest snapshot of [team], or null before the first change. */
    suspend fun newest(team: TeamId): Result<TeamSnapshot?, ConfigurationError> {
        val read = head(team).getOrElse { return Err(ConfigurationError.StoreFailed(it)) }
        val head = read.head ?: return Ok(null)
        return snapshot(team, head.newest)
    }

    /** Accepts [request], or says why not. [ChangeRequest.basedOn] null means that the team is new. */
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
        val before = current?.let { snapshot(team, it).getOrElse { error -> return Err(error) } }
        val error = checkKeysStayWithdrawn(before, snapshot) ?: writeSnapshot(team, snapshot)
        return if (error == null) writeHead(read, request, snapshot) else Err(error)
    }

    private suspend fun writeSnapshot(
        team: TeamId,
        snapshot: TeamSnapshot,
    ): ConfigurationError? {
        val path = snapshotPath(team, snapshot.revision, snapshot.changeId)
        val value = Json.encodeToString(snapshot)
        val error = store.write(path, value, ObjectVersion.ABSENT).getError() ?: return null
        val alreadyThere = store.read(path).getOrElse { null }?.value == value
        return if (alreadyThere) null else ConfigurationError.StoreFailed(error)
    }

    private suspend fun writeHead(
        read: ReadHead,
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
        return settle(team, request.changeId, snapshot, error)
    }

    /** Reads back whether the change is in the head's history. */
    private suspend fun settle(
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

    /** An old file that still has a withdrawn key must not bring it back. */
    private fun checkKeysStayWithdrawn(
        before: TeamSnapshot?,
        after: TeamSnapshot,
    ): ConfigurationError? {
        val withdrawn =
            before
                ?.declaration
                ?.keys
                .orEmpty()
                .filter { it.withdrawn }
                .map { it.id }
                .toSet()
        val revived = after.declaration.keys.filter { it.id in withdrawn && !it.withdrawn }
        if (revived.isEmpty()) return null
        val names = revived.joinToString { it.id.value }
        return ConfigurationError.Forbidden("withdrawn keys can't be granted again: $names; grant a key with a new id")
    }
}
