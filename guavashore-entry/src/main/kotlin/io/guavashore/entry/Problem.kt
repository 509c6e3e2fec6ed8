/*
 * Problem documents (RFC 9457): the form in which refusals are sent to callers.
 */
package io.guavashore.entry

import io.guavashore.api.Refusal
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.header
import io.ktor.server.response.respondText
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonNamingStrategy

/** Body of type `application/problem+json`; [notRun] is true if the request has certainly not run. */
@Serializable
internal data class Problem(
    val type: String,
    val title: String,
    val status: Int,
    val detail: String,
    val kind: String,
    val notRun: Boolean,
    val retryAfterMs: Long? = null,
)

/** JSON of the public API for callers and trainers: names in snake case, unknown names are refused. */
internal val apiJson =
    Json {
        namingStrategy = JsonNamingStrategy.SnakeCase
        ignoreUnknownKeys = false
        encodeDefaults = true
    }

internal fun Refusal.toProblem(): Problem {
    val name = kind.name.lowercase()
    return Problem(
        type = "urn:guavashore:problem:${name.replace('_', '-')}",
        title = name.replace('_', ' '),
        status = kind.status,
        detail = message,
        kind = name,
        notRun = notRun,
        retryAfterMs = retryAfterMs,
    )
}

private val problemType = ContentType.parse("application/problem+json")
private const val MS_PER_S = 1_000.0

/** Responds with the refusal as a problem document. A 401 closes the connection. */
internal suspend fun ApplicationCall.respondProblem(refusal: Refusal) {
    refusal.retryAfterMs?.let { response.header(HttpHeaders.RetryAfter, Math.ceil(it / MS_PER_S).toLong()) }
    if (refusal.kind.status == HttpStatusCode.Unauthorized.value) {
        response.header(HttpHeaders.WWWAuthenticate, "Bearer")
        response.header(HttpHeaders.Connection, "close")
    }
    respondText(apiJson.encodeToString(refusal.toProblem()), problemType, HttpStatusCode.fromValue(refusal.kind.status))
}
