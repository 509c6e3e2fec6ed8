/*
 * HTTP messages independent of Netty.
 */
package io.guavashore.net

/** Header fields in their order; names are case-insensitive. */
class Headers(
    private val fields: List<Pair<String, String>>,
) : Iterable<Pair<String, String>> {
    /** Returns the first value of [name], or null. */
    operator fun get(name: String): String? = fields.firstOrNull { it.first.equals(name, ignoreCase = true) }?.second

    override fun iterator(): Iterator<Pair<String, String>> = fields.iterator()

    companion object {
        val NONE = Headers(emptyList())

        fun of(vararg fields: Pair<String, String>) = Headers(fields.toList())
    }
}

/**
 * Complete request, received from a caller or to be sent to a server.
 *
 * @property uri path and query, exactly as the caller sent them
 */
class HttpRequestMessage(
    val method: String,
    val uri: String,
    val headers: Headers,
    val body: ByteArray = EMPTY_BODY,
) {
    val path: String get() = uri.substringBefore('?')

    /** Returns the percent-decoded value of the query parameter [name], or null. */
    fun query(name: String): String? =
        uri
            .substringAfter('?', "")
            .split('&')
            .firstOrNull { it.substringBefore('=') == name }
            ?.substringAfter('=', "")
            ?.let { java.net.URLDecoder.decode(it, Charsets.UTF_8) }
}

/** Complete response, of this process or of a server. */
class HttpResponseMessage(
    val status: Int,
    val headers: Headers = Headers.NONE,
    val body: ByteArray = EMPTY_BODY,
)

val EMPTY_BODY = ByteArray(0)

/** Failure of an exchange with a server: no complete response was received. */
sealed class ExchangeFailure(
    message: String,
) : java.io.IOException(message) {
    /** The connection could not be opened; no byte of the request was sent. */
    class NotConnected(
        reason: String,
    ) : ExchangeFailure("connection failed: $reason")

    /** The connection failed or received invalid data before the response was complete; the request may have run. */
    class Broken(
        reason: String,
    ) : ExchangeFailure("response incomplete: $reason")
}
