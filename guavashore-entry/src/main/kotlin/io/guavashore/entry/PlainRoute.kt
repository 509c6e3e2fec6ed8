/*
 * `/v1/{team}/{service}/call/...`: calls of plain services. The response is read completely before any of it is
 * forwarded, so that a caller never gets a partial response.
 */
package io.guavashore.entry

import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import io.guavashore.admission.WorkClass
import io.guavashore.api.TargetKind
import io.guavashore.api.UsageAmount
import io.guavashore.calls.CallPlan
import io.guavashore.calls.PlainCall
import io.guavashore.calls.PlainRequest
import io.guavashore.calls.SlotRequest
import io.guavashore.claims.ClaimKey
import io.guavashore.routing.RequestFingerprint
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpMethod
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.header
import io.ktor.server.request.httpMethod
import io.ktor.server.request.uri
import io.ktor.server.response.respondBytes

/** Handles calls of plain services. */
internal class PlainRoute(
    private val services: EntryServices,
) {
    suspend fun handle(
        call: ApplicationCall,
        admitted: AdmittedCall,
    ) {
        if (admitted.service.kind != TargetKind.PLAIN) {
            return call.respondProblem(badRequestRefusal("service ${admitted.service.id} is a model; use /generate"))
        }
        val body = call.readBody(admitted.service.maxRequestBytes).getOrElse { return call.respondProblem(it) }
        val pathAndQuery = "/" + call.request.uri.substringAfter("/call/", missingDelimiterValue = "")
        call.checkKeyNotRepeated(pathAndQuery, body).getOrElse { return call.respondProblem(it) }
        val deadlineMs =
            call
                .deadlineMs(admitted.service.timeoutMs, services.clock, services.wallClock)
                .getOrElse { return call.respondProblem(it) }
        val request =
            PlainRequest(
                method = call.request.httpMethod.value,
                pathAndQuery = pathAndQuery,
                contentType = call.request.header(HttpHeaders.ContentType),
                accept = call.request.header(HttpHeaders.Accept),
                body = body,
            )
        run(call, admitted, request, deadlineMs)
    }

    private suspend fun run(
        call: ApplicationCall,
        admitted: AdmittedCall,
        request: PlainRequest,
        deadlineMs: Long,
    ) {
        val plan = plan(admitted, request, deadlineMs)
        val key = call.request.header(IDEMPOTENCY_HEADER)?.takeUnless { plan.idempotent }
        if (key != null && key.length > MAX_KEY_LENGTH) {
            return call.respondProblem(
                badRequestRefusal("$IDEMPOTENCY_HEADER has ${key.length} characters, the limit is $MAX_KEY_LENGTH"),
            )
        }
        val outcome =
            if (key == null) {
                services.callPlain(admitted, request, plan)
            } else {
                services.idempotencyClaims.runOnce(claimKey(admitted, key)) {
                    services.callPlain(admitted, request, plan)
                }
            }
        outcome
            .onFailure { call.respondProblem(it) }
            .onSuccess { response ->
                val type = response.contentType?.let(ContentType::parse) ?: ContentType.Application.OctetStream
                call.respondBytes(response.body, type, HttpStatusCode.fromValue(response.status))
                services.countDelivered(admitted, UsageAmount(requests = 1))
            }
    }

    private fun claimKey(
        admitted: AdmittedCall,
        key: String,
    ) = ClaimKey(admitted.team.declaration.team, admitted.caller.organisation, admitted.service.id, key)

    private fun plan(
        admitted: AdmittedCall,
        request: PlainRequest,
        deadlineMs: Long,
    ) = CallPlan(
        slot = SlotRequest(admitted.caller.organisation, WorkClass.PUBLIC, cost = 1, deadlineMs = deadlineMs),
        fingerprint =
            RequestFingerprint.of(
                admitted.caller.organisation,
                "${request.method} ${request.pathAndQuery}\n".toByteArray() + request.body,
            ),
        idempotent =
            HttpMethod.parse(request.method) in idempotentMethods ||
                (request.method == HttpMethod.Post.value && admitted.service.idempotentPosts),
    )

    private companion object {
        const val IDEMPOTENCY_HEADER = "Idempotency-Key"
        const val MAX_KEY_LENGTH = 200
        val idempotentMethods =
            setOf(HttpMethod.Get, HttpMethod.Head, HttpMethod.Put, HttpMethod.Delete, HttpMethod.Options)
    }
}
