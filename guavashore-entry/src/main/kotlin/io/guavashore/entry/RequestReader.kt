/*
 * Reads what callers send, within bounds, and refuses what could carry their key on to a target.
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

/** Header with the Unix time, in ms, by which the caller wants its answer. */
internal const val DEADLINE_HEADER = "Guavashore-Deadline-Ms"

/** Reads the body, at most [maxBytes] long. */
internal suspend fun ApplicationCall.readBody(maxBytes: Long): Result<ByteArray, Refusal> {
    val announced = request.contentLength()
    if (announced != null && announced > maxBytes) return tooLarge(maxBytes)
    val body = receiveChannel().readRemaining(maxBytes + 1).readByteArray()
    return if (body.size > maxBytes) tooLarge(maxBytes) else Ok(body)
}

/** Decodes a JSON body of the callers' interface. */
internal inline fun <reified T> decodeBody(body: ByteArray): Result<T, Refusal> =
    try {
        Ok(apiJson.decodeFromString<T>(body.decodeToString()))
    } catch (e: SerializationException) {
        badRequest("the body is not the JSON that docs/API.md describes: ${e.message.orEmpty().lineSequence().first()}")
    } catch (e: IllegalArgumentException) {
        badRequest("the body has a value out of bounds: ${e.message.orEmpty().lineSequence().first()}")
    }

/** Monotonic deadline of the call: the caller's, if it gives one, but at most [timeoutMs] from now. */
internal fun ApplicationCall.deadlineMs(
    timeoutMs: Long,
    clock: MonotonicClock,
    wallClock: WallClock,
): Result<Long, Refusal> {
    val text = request.header(DEADLINE_HEADER) ?: return Ok(clock() + timeoutMs)
    val wanted = text.toLongOrNull() ?: return badRequest("$DEADLINE_HEADER must be a Unix time in ms")
    val leftMs = wanted - wallClock()
    if (leftMs <= 0) {
        return Err(Refusal(RefusalKind.DEADLINE, "the deadline has passed already; send a later one", notRun = true))
    }
    return Ok(clock() + minOf(leftMs, timeoutMs))
}

/** Refuses a request that repeats the caller's key outside the `Authorization` header. */
internal fun ApplicationCall.checkKeyNotRepeated(
    pathAndQuery: String,
    body: ByteArray,
): Result<Unit, Refusal> {
    val key = presentedKey(request.header(HttpHeaders.Authorization))?.let(CallerKey::parseOrNull) ?: return Ok(Unit)
    val places = listOf(pathAndQuery, pathAndQuery.decodeURLQueryComponent(), body.decodeToString())
    if (places.none(key::standsIn)) return Ok(Unit)
    return badRequest("the key stands in path, query or body; send it in the Authorization header only")
}

internal fun badRequest(message: String) = Err(badRequestRefusal(message))

internal fun badRequestRefusal(message: String) = Refusal(RefusalKind.BAD_REQUEST, message, notRun = true)

private fun tooLarge(maxBytes: Long) =
    Err(Refusal(RefusalKind.TOO_LARGE, "the body is longer than $maxBytes bytes; send less", notRun = true))

/** Key in the value of an `Authorization` header, or null if it holds none. */
internal fun presentedKey(authorization: String?): String? =
    authorization?.takeIf { it.startsWith(BEARER, ignoreCase = true) }?.drop(BEARER.length)?.trim()

private const val BEARER = "Bearer "
