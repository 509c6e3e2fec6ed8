/*
 * Checks of a head for what another recipient could split into messages differently. Netty's decoder reads codings that
 * it does not know as no coding, and takes any text as the value of a field.
 */
package io.guavashore.net

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpVersion

/** Returns why [request] could be read differently by another recipient, or null. */
internal fun ambiguityOf(request: HttpRequest): String? = ambiguityOfLength(request) ?: ambiguityOfHead(request)

/** Returns why another recipient could find the end of [message] elsewhere, or null. */
internal fun ambiguityOfLength(message: HttpMessage): String? {
    val codings = message.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING)
    if (codings.isEmpty()) return null
    if (!codings.singleOrNull().equals("chunked", ignoreCase = true)) return "Transfer-Encoding other than chunked"
    if (message.protocolVersion() != HttpVersion.HTTP_1_1) return "Transfer-Encoding in a message of HTTP/1.0"
    return null
}

/**
 * A head that is broken off within a field and followed by another one has the second's line in that field, and its
 * Host after it.
 */
private fun ambiguityOfHead(request: HttpRequest): String? {
    // Bytes beyond ASCII would reach a target in another encoding.
    if (request.uri().any { it !in VISIBLE_ASCII }) return "bytes in the path that are not visible ASCII"
    if (request.headers().getAll(HttpHeaderNames.HOST).size > 1) return "several Host fields"
    val beforeHost = request.headers().takeWhile { !it.key.equals("Host", ignoreCase = true) }
    return "a request line within a field".takeIf { beforeHost.any { END_OF_REQUEST_LINE.containsMatchIn(it.value) } }
}

private val VISIBLE_ASCII = '!'..'~'
private val END_OF_REQUEST_LINE = Regex("[A-Z]+ \\S+ HTTP/1\\.[01]$")
