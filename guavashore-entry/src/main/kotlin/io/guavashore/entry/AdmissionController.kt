/*
 * Checks made on every call before it may wait for a slot: team, service, key, isolation of the zone, and the
 * organisation's limits.
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

/** Authenticated caller of a route. [key] is null on open routes, which require no key. */
internal data class Caller(
    val organisation: OrganisationId,
    val key: KeyId?,
)

/** A call with its service, pool and caller: admitted from outside, or made by this entry for a trainer's step. */
internal class AdmittedCall(
    val team: TeamRuntime,
    val service: ServiceDeclaration,
    val pool: PoolRuntime,
    val caller: Caller,
)

/** Caller of every call on an open route; these calls are queued under its organisation. */
private val anonymousCaller = Caller(OrganisationId("open"), key = null)

/** Admits or refuses the calls of one entry. Thread-safe. */
internal class AdmissionController(
    private val state: EntryState,
) {
    @Volatile
    var isShuttingDown = false

    /** Admits a call to [service], or refuses it if the route is unknown or the key is not accepted. */
    fun admit(
        team: TeamId,
        service: ServiceId,
        authorization: String?,
    ): Result<AdmittedCall, Refusal> {
        val runtime = team(team).getOrElse { return Err(it) }
        val declared =
            runtime.declaration.service(service)
                ?: return unknownRoute("service \"$service\" is not known in team $team")
        val pool = runtime.pools[declared.pool] ?: return unknownRoute("service \"$service\" has no pool")
        val caller = if (declared.open) Ok(anonymousCaller) else authenticate(runtime, authorization)
        return caller.map { AdmittedCall(runtime, declared, pool, it) }
    }

    /** Returns the team, or refuses if it is not declared or this entry is starting or shutting down. */
    fun team(id: TeamId): Result<TeamRuntime, Refusal> {
        if (isShuttingDown) return Err(shuttingDown())
        if (!state.isConfigured()) return Err(notConfigured())
        return state.team(id)?.let { Ok(it) } ?: unknownRoute("team \"$id\" is not known")
    }

    /** Returns the owner of the key in the `Authorization` header; refuses if the zone's isolation requires it. */
    fun authenticate(
        team: TeamRuntime,
        authorization: String?,
    ): Result<Caller, Refusal> {
        val key = team.keys.check(bearerToken(authorization)).getOrElse { return Err(it) }
        if (state.refusesWhileIsolated(team, key.organisation)) return Err(zoneIsolated())
        return Ok(Caller(key.organisation, key.id))
    }

    /** Runs [block] under the organisation's limits. [usedTokens] is called at the end: tokens the call produced. */
    suspend fun <T> withinLimits(
        admitted: AdmittedCall,
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

    /** Runs [block] and cancels it as soon as the caller's key is withdrawn. */
    suspend fun <T> whileKeyValid(
        team: TeamId,
        key: KeyId?,
        block: suspend () -> Result<T, Refusal>,
    ): Result<T, Refusal> {
        if (key == null) return block()
        val isWithdrawn = AtomicBoolean(false)
        return try {
            coroutineScope {
                val work = async { block() }
                val cancelCall = {
                    isWithdrawn.set(true)
                    work.cancel()
                }
                state.sessions.open(key, cancelCall).use {
                    if (state.team(team)?.keys?.isInForce(key) != true) cancelCall()
                    work.await()
                }
            }
        } catch (e: CancellationException) {
            if (!isWithdrawn.get()) throw e
            Err(keyWithdrawn())
        }
    }

    private fun unknownRoute(message: String) =
        Err(Refusal(RefusalKind.UNKNOWN_ROUTE, "$message; compare the path with the declaration", notRun = true))

    private fun keyWithdrawn() =
        Refusal(
            RefusalKind.KEY_WITHDRAWN,
            "the key was withdrawn while the call ran; ask an operator for a new key",
            notRun = false,
        )

    private fun zoneIsolated() =
        Refusal(
            kind = RefusalKind.ISOLATED,
            message = "this zone is isolated and can't verify that the key is valid; retry after the time given",
            notRun = true,
            retryAfterMs = ISOLATED_RETRY_AFTER_MS,
        )

    private fun notConfigured() =
        Refusal(
            kind = RefusalKind.NO_CAPACITY,
            message = "no declaration is in force on this entry yet; retry after the time given",
            notRun = true,
            retryAfterMs = STARTING_RETRY_AFTER_MS,
        )

    private fun shuttingDown() =
        Refusal(
            kind = RefusalKind.SHUTTING_DOWN,
            message = "this entry is shutting down; reconnect through the load balancer to reach another entry",
            notRun = true,
            retryAfterMs = 0,
        )

    private companion object {
        const val ISOLATED_RETRY_AFTER_MS = 5_000L
        const val STARTING_RETRY_AFTER_MS = 1_000L
    }
}
