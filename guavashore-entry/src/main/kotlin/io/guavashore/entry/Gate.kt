/*
 * What every call passes before it may wait for a slot: team, service, key, isolation, limits.
 */
package io.guavashore.entry

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.map
import io.guavashore.api.KeyId
import io.guavashore.api.OrganisationId
import io.guavashore.api.Refusal
import io.guavashore.api.RefusalKind
import io.guavashore.api.ServiceDeclaration
import io.guavashore.api.ServiceId
import io.guavashore.api.TeamId
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import java.util.concurrent.atomic.AtomicBoolean

/** Who calls. [key] is null on open routes. */
internal data class Caller(
    val organisation: OrganisationId,
    val key: KeyId?,
)

/** A call that may go on. */
internal class Admitted(
    val team: TeamRuntime,
    val service: ServiceDeclaration,
    val pool: PoolRuntime,
    val caller: Caller,
)

/** Caller of open routes, under whose name such calls are queued. */
private val openCaller = Caller(OrganisationId("open"), key = null)

/** Gate of one entry. */
internal class Gate(
    private val state: EntryState,
) {
    @Volatile
    var isShuttingDown = false

    /** Lets a call to a service in, or refuses it. */
    fun admit(
        team: TeamId,
        service: ServiceId,
        authorization: String?,
    ): Result<Admitted, Refusal> {
        val runtime = team(team).getOrElse { return Err(it) }
        val declared =
            runtime.declaration.service(service) ?: return unknown("service \"$service\" is not known in team $team")
        val pool = runtime.pools[declared.pool] ?: return unknown("service \"$service\" has no pool")
        val caller = if (declared.open) Ok(openCaller) else authenticate(runtime, authorization)
        return caller.map { Admitted(runtime, declared, pool, it) }
    }

    fun team(id: TeamId): Result<TeamRuntime, Refusal> {
        if (isShuttingDown) return Err(shuttingDown())
        if (!state.isConfigured()) return Err(notConfigured())
        return state.team(id)?.let { Ok(it) } ?: unknown("team \"$id\" is not known")
    }

    /** Checks the key of the `Authorization` header. */
    fun authenticate(
        team: TeamRuntime,
        authorization: String?,
    ): Result<Caller, Refusal> {
        val key = team.keys.check(presentedKey(authorization)).getOrElse { return Err(it) }
        if (state.refusesIsolated(team, key.organisation)) return Err(isolated())
        return Ok(Caller(key.organisation, key.id))
    }

    /** Runs [block] under the organisation's limits. [usedTokens] tells how many tokens were delivered in the end. */
    suspend fun <T> withinLimits(
        admitted: Admitted,
        maxTokens: Long,
        usedTokens: () -> Long,
        block: suspend () -> Result<T, Refusal>,
    ): Result<T, Refusal> {
        val limits = admitted.team.organisations[admitted.caller.organisation] ?: return block()
        limits.tryStart(maxTokens).getOrElse { return Err(it) }
        try {
            return block()
        } finally {
            limits.finish(maxTokens, usedTokens())
        }
    }

    /** Runs [block] and ends it as soon as the caller's key is withdrawn. */
    suspend fun <T> whileInForce(
        team: TeamId,
        key: KeyId?,
        block: suspend () -> Result<T, Refusal>,
    ): Result<T, Refusal> {
        if (key == null) return block()
        val ended = AtomicBoolean(false)
        return try {
            coroutineScope {
                val work = async { block() }
                val end = {
                    ended.set(true)
                    work.cancel()
                }
                state.sessions.open(key, end).use {
                    if (state.team(team)?.keys?.isInForce(key) != true) end()
                    work.await()
                }
            }
        } catch (e: CancellationException) {
            if (!ended.get()) throw e
            Err(withdrawn())
        }
    }

    private fun unknown(message: String) =
        Err(Refusal(RefusalKind.UNKNOWN_ROUTE, "$message; check the path against the declaration", notRun = true))

    private fun withdrawn() =
        Refusal(
            RefusalKind.KEY_WITHDRAWN,
            "the key was withdrawn while the call ran; ask an operator for another",
            notRun = false,
        )

    private fun isolated() =
        Refusal(
            kind = RefusalKind.ISOLATED,
            message = "this zone is cut off and can't tell whether the key still holds; come back after the time given",
            notRun = true,
            retryAfterMs = ISOLATED_RETRY_MS,
        )

    private fun notConfigured() =
        Refusal(
            kind = RefusalKind.NO_CAPACITY,
            message = "no declaration is in force here yet; come back after the time given",
            notRun = true,
            retryAfterMs = START_RETRY_MS,
        )

    private fun shuttingDown() =
        Refusal(
            kind = RefusalKind.SHUTTING_DOWN,
            message = "this entry is being stopped; connect again, the balancer knows another",
            notRun = true,
            retryAfterMs = 0,
        )

    private companion object {
        const val ISOLATED_RETRY_MS = 5_000L
        const val START_RETRY_MS = 1_000L
    }
}
