/*
 * Asks the stewards themselves which revision each has in force.
 */
package io.guavashore.ctl

import io.guavashore.api.Revision
import io.guavashore.api.TeamId
import io.ktor.client.HttpClient
import io.ktor.client.request.get
import io.ktor.client.statement.bodyAsText
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeout
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** The part of a steward's status that is used here. */
@Serializable
internal data class NodeStatus(
    val vm: String,
    val zone: String,
    val revisions: List<NodeRevision>,
    val members: List<NodeMember> = emptyList(),
    val zoneLease: Long? = null,
    val coordinatorLease: Long? = null,
)

@Serializable
internal data class NodeRevision(
    val team: String,
    val inForce: Long? = null,
    val rejected: Long? = null,
    val reason: String? = null,
)

@Serializable
internal data class NodeMember(
    val vm: String,
    val zone: String,
    val operations: NodeAddress,
    val state: String,
)

@Serializable
internal data class NodeAddress(
    val host: String,
    val port: Int,
)

/** Status of all stewards that the one at [address] knows. */
internal class FleetStatus(
    private val client: HttpClient,
    private val address: String,
) {
    private val json = Json { ignoreUnknownKeys = true }

    /** Status of each member; null where it did not answer. */
    suspend fun all(): Map<String, NodeStatus?> {
        val first =
            ask(address)
                ?: fail(ExitCode.FAILED, "steward $address does not answer; give the operations address of another")
        return coroutineScope {
            first.members
                .map { member -> async { member.vm to ask("${member.operations.host}:${member.operations.port}") } }
                .awaitAll()
                .toMap()
        }
    }

    /** Waits until all have [revision] or a higher one; returns who does not, with the reason if it gave one. */
    suspend fun waitFor(
        team: TeamId,
        revision: Revision,
        waitMs: Long,
    ): List<String> {
        val untilMs = System.currentTimeMillis() + waitMs
        while (true) {
            val behind = all().mapNotNull { (vm, status) -> describeIfBehind(vm, status, team, revision) }
            if (behind.isEmpty() || System.currentTimeMillis() >= untilMs) return behind
            delay(POLL_MS)
        }
    }

    private fun describeIfBehind(
        vm: String,
        status: NodeStatus?,
        team: TeamId,
        revision: Revision,
    ): String? {
        if (status == null) return "$vm (no answer)"
        val own = status.revisions.firstOrNull { it.team == team.value }
        if ((own?.inForce ?: 0) >= revision.value) return null
        return if (own?.reason == null) "$vm (revision ${own?.inForce ?: 0})" else "$vm (can't use it: ${own.reason})"
    }

    private suspend fun ask(address: String): NodeStatus? =
        try {
            withTimeout(TIMEOUT_MS) { json.decodeFromString(client.get("http://$address/status").bodyAsText()) }
        } catch (e: TimeoutCancellationException) {
            null
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            null
        }

    private companion object {
        const val POLL_MS = 200L
        const val TIMEOUT_MS = 2_000L
    }
}
