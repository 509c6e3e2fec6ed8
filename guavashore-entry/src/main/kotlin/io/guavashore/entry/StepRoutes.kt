/*
 * Routes of trainers: put a step, pull complete groups of samples, and read a step's progress.
 */
package io.guavashore.entry

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import io.guavashore.api.Refusal
import io.guavashore.api.RefusalKind
import io.guavashore.api.StepId
import io.guavashore.api.TeamId
import io.guavashore.api.TrainerDeclaration
import io.guavashore.api.TrainerId
import io.guavashore.api.UsageAmount
import io.guavashore.samples.PullRequest
import io.guavashore.samples.PullResponse
import io.guavashore.samples.StepError
import io.guavashore.samples.StepKey
import io.guavashore.samples.StepRegistry
import io.guavashore.samples.StepRequest
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.header
import io.ktor.server.response.respondText
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.Serializable

/** Response to a put; [accepted] is false if the step was already known. */
@Serializable
internal data class PutResponse(
    val accepted: Boolean,
)

/** Handles the routes of trainers. */
internal class StepRoutes(
    private val services: EntryServices,
    private val registry: StepRegistry,
    private val stepRunner: StepRunner,
) {
    private class Authorised(
        val key: StepKey,
        val trainer: TrainerDeclaration,
        val caller: Caller,
        val team: TeamRuntime,
    )

    suspend fun put(call: ApplicationCall) {
        val authorised = authorise(call).getOrElse { return call.respondProblem(it) }
        val bytes = call.readBody(MAX_STEP_BYTES).getOrElse { return call.respondProblem(it) }
        val request = decodeBody<StepRequest>(bytes).getOrElse { return call.respondProblem(it) }
        if (request.step != authorised.key.step) {
            return call.respondProblem(badRequestRefusal("the step in the body differs from the one in the path"))
        }
        registry
            .put(authorised.key, request, authorised.trainer)
            .onFailure { call.respondProblem(it.toRefusal()) }
            .onSuccess { isNewStep ->
                stepRunner.ensureRunning(authorised.key)
                call.respondJson(apiJson.encodeToString(PutResponse(isNewStep)))
            }
    }

    suspend fun pull(call: ApplicationCall) {
        val authorised = authorise(call).getOrElse { return call.respondProblem(it) }
        val bytes = call.readBody(MAX_STEP_BYTES).getOrElse { return call.respondProblem(it) }
        val request = decodeBody<PullRequest>(bytes).getOrElse { return call.respondProblem(it) }
        if (request.waitMs !in 0..MAX_WAIT_MS || request.maxGroups < 1) {
            return call.respondProblem(
                badRequestRefusal("wait_ms must be from 0 to $MAX_WAIT_MS, and max_groups at least 1"),
            )
        }
        services.admissionController
            .whileKeyValid(authorised.key.team, authorised.caller.key) { waitAndPull(authorised, request) }
            .onFailure { call.respondProblem(it) }
            .onSuccess { call.respondJson(apiJson.encodeToString(it)) }
    }

    suspend fun status(call: ApplicationCall) {
        val authorised = authorise(call).getOrElse { return call.respondProblem(it) }
        val status = registry.withStep(authorised.key) { it.status(services.clock(), services.wallClock()) }
        if (status == null) return call.respondProblem(StepError.Unknown.toRefusal())
        call.respondJson(apiJson.encodeToString(status))
    }

    /** Waits until a group or the step is complete, at most the request's wait time, then pulls complete groups. */
    private suspend fun waitAndPull(
        authorised: Authorised,
        request: PullRequest,
    ): Result<PullResponse, Refusal> {
        withTimeoutOrNull(request.waitMs) {
            while (registry.withStep(authorised.key) { it.hasCompleteGroup(request.received) || it.isComplete() } ==
                false
            ) {
                delay(POLL_INTERVAL_MS)
            }
        }
        val response =
            registry.withStep(authorised.key) { step ->
                val pulled = step.pull(request, services.clock())
                val delivered = step.takeDelivered()
                countDelivered(authorised, UsageAmount(samples = delivered.samples, tokens = delivered.tokens))
                pulled
            } ?: Err(StepError.Unknown)
        return response.getOrElse { return Err(it.toRefusal()) }.let { Ok(it) }
    }

    /** Counts the delivery and reports it soon, so that little usage is lost if this entry crashes right afterwards. */
    private fun countDelivered(
        authorised: Authorised,
        amount: UsageAmount,
    ) {
        if (amount.isZero()) return
        val declaration = authorised.team.declaration
        services.countUsage(declaration, authorised.trainer.organisation, amount)
        services.reportSoon()
    }

    private fun authorise(call: ApplicationCall): Result<Authorised, Refusal> {
        val teamId = TeamId(call.parameters["team"].orEmpty())
        val team = services.admissionController.team(teamId).getOrElse { return Err(it) }
        val caller =
            services.admissionController
                .authenticate(team, call.request.header(HttpHeaders.Authorization))
                .getOrElse { return Err(it) }
        val id = TrainerId(call.parameters["trainer"].orEmpty())
        val trainer = team.declaration.trainer(id)
        if (trainer == null || trainer.organisation != caller.organisation) {
            return Err(
                Refusal(RefusalKind.NOT_ALLOWED, "trainer \"$id\" isn't one of the key's organisation", notRun = true),
            )
        }
        val key = StepKey(teamId, id, StepId(call.parameters["step"].orEmpty()))
        return Ok(Authorised(key, trainer, caller, team))
    }

    private fun StepError.toRefusal(): Refusal {
        val kind =
            when (this) {
                StepError.Unknown -> RefusalKind.UNKNOWN_STEP
                is StepError.OutOfBounds -> RefusalKind.BAD_REQUEST
                StepError.DifferentContent, is StepError.OldEpoch -> RefusalKind.CONFLICT
            }
        return Refusal(kind, message, notRun = true)
    }

    private suspend fun ApplicationCall.respondJson(body: String) =
        respondText(body, ContentType.Application.Json, HttpStatusCode.OK)

    private companion object {
        const val MAX_STEP_BYTES = 33_554_432L
        const val MAX_WAIT_MS = 30_000L
        const val POLL_INTERVAL_MS = 20L
    }
}
