/*
 * Reads requests of callers within size limits, and refuses requests that would pass the caller's key on to a target.
 */
package io.guavashore.entry

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.guavashore.api.MonotonicClock
import io.guavashore.api.Refusal
import io.guavashore.api.RefusalKind
import io.guavashore.api.WallClock
import io.guavashore.keys.CallerKey
import io.ktor.http.HttpHeaders
import io.ktor.http.decodeURLQueryComponent
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.contentLength
import io.ktor.server.request.header
import io.ktor.server.request.receiveChannel
import io.ktor.utils.io.readRemaining
import kotlinx.io.readByteArray
import kotlinx.serialization.SerializationException

/** Header with the Unix time in ms by which the caller needs the response. */
internal const val DEADLINE_HEADER = "Guavashore-Deadline-Ms"

/** Reads the body; refuses it if it is longer than [maxBytes]. */
internal suspend fun ApplicationCall.readBody(maxBytes: Long): Result<ByteArray, Refusal> {
    val declaredBytes = request.contentLength()
    if (declaredBytes != null && declaredBytes > maxBytes) return tooLarge(maxBytes)
    val body = receiveChannel().readRemaining(maxBytes + 1).readByteArray()
    return if (body.size > maxBytes) tooLarge(maxBytes) else Ok(body)
}

/** Decodes a JSON body of the public API; refuses it if it is malformed. */
internal inline fun <reified T> decodeBody(body: ByteArray): Result<T, Refusal> =
    try {
        Ok(apiJson.decodeFromString<T>(body.decodeToString()))
    } catch (e: SerializationException) {
        badRequest("the body is not the JSON that docs/API.md describes: ${e.message.orEmpty().lineSequence().first()}")
    } catch (e: IllegalArgumentException) {
        badRequest("the body has an invalid value: ${e.message.orEmpty().lineSequence().first()}")
    }

/** Monotonic deadline of the call: the caller's deadline if it sends one, and at most [timeoutMs] from now. */
internal fun ApplicationCall.deadlineMs(
    timeoutMs: Long,
    clock: MonotonicClock,
    wallClock: WallClock,
): Result<Long, Refusal> {
    val headerValue = request.header(DEADLINE_HEADER) ?: return Ok(clock() + timeoutMs)
    val requestedMs = headerValue.toLongOrNull() ?: return badRequest("$DEADLINE_HEADER must be a Unix time in ms")
    val remainingMs = requestedMs - wallClock()
    if (remainingMs <= 0) {
        return Err(Refusal(RefusalKind.DEADLINE, "the deadline has already passed; send a later one", notRun = true))
    }
    return Ok(clock() + minOf(remainingMs, timeoutMs))
}

/** Refuses a request that contains the caller's key outside the `Authorization` header. */
internal fun ApplicationCall.checkKeyNotRepeated(
    pathAndQuery: String,
    body: ByteArray,
): Result<Unit, Refusal> {
    val key = bearerToken(request.header(HttpHeaders.Authorization))?.let(CallerKey::parseOrNull) ?: return Ok(Unit)
    val searchedTexts = listOf(pathAndQuery, pathAndQuery.decodeURLQueryComponent(), body.decodeToString())
    if (searchedTexts.none(key::isContainedIn)) return Ok(Unit)
    return badRequest("the path, query or body contains the key; send the key in the Authorization header only")
}

internal fun badRequest(message: String) = Err(badRequestRefusal(message))

internal fun badRequestRefusal(message: String) = Refusal(RefusalKind.BAD_REQUEST, message, notRun = true)

private fun tooLarge(maxBytes: Long) =
    Err(Refusal(RefusalKind.TOO_LARGE, "the body exceeds the limit of $maxBytes bytes; send less", notRun = true))

/** Token of a `Bearer` [authorization] header; null without such a header. */
internal fun bearerToken(authorization: String?): String? =
    authorization?.takeIf { it.startsWith(BEARER_PREFIX, ignoreCase = true) }?.drop(BEARER_PREFIX.length)?.trim()

private const val BEARER_PREFIX = "Bearer "
