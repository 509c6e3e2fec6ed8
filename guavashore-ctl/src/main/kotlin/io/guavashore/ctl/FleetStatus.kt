/*
 * Queries each steward for the revisions that it has in force; the store only shows the accepted ones.
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

/** The fields of a steward's status that the command-line tool uses. */
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

/** Status of all stewards that the steward at [address] (`host:port` of its operations endpoint) lists as members. */
internal class FleetStatus(
    private val client: HttpClient,
    private val address: String,
) {
    private val json = Json { ignoreUnknownKeys = true }

    /** Status by VM, null if a member did not respond. Ends the process if the steward at [address] did not respond. */
    suspend fun all(): Map<String, NodeStatus?> {
        val first =
            fetchStatus(address)
                ?: fail(ExitCode.FAILED, "steward $address did not respond; give the operations address of another")
        return coroutineScope {
            first.members
                .map { member ->
                    async { member.vm to fetchStatus("${member.operations.host}:${member.operations.port}") }
                }.awaitAll()
                .toMap()
        }
    }

    /**
     * Waits up to [waitMs] until all members have [revision] or a higher one in force. Returns a description of each
     * other member, with its reason if it rejected a revision; empty if there is none.
     */
    suspend fun waitFor(
        team: TeamId,
        revision: Revision,
        waitMs: Long,
    ): List<String> {
        val deadlineMs = System.currentTimeMillis() + waitMs
        while (true) {
            val outdated = all().mapNotNull { (vm, status) -> describeIfOutdated(vm, status, team, revision) }
            if (outdated.isEmpty() || System.currentTimeMillis() >= deadlineMs) return outdated
            delay(POLL_MS)
        }
    }

    private fun describeIfOutdated(
        vm: String,
        status: NodeStatus?,
        team: TeamId,
        revision: Revision,
    ): String? {
        if (status == null) return "$vm (no response)"
        val current = status.revisions.firstOrNull { it.team == team.value }
        if ((current?.inForce ?: 0) >= revision.value) return null
        return if (current?.reason == null) {
            "$vm (revision ${current?.inForce ?: 0})"
        } else {
            "$vm (rejected: ${current.reason})"
        }
    }

    private suspend fun fetchStatus(address: String): NodeStatus? =
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
