/*
 * HTTP messages as the rest of the product sees them.
 */
package io.guavashore.net

/** Header fields in order; names compare without case. */
class Headers(
    private val fields: List<Pair<String, String>>,
) : Iterable<Pair<String, String>> {
    /** First value of [name], or null. */
    operator fun get(name: String): String? = fields.firstOrNull { it.first.equals(name, ignoreCase = true) }?.second

    override fun iterator(): Iterator<Pair<String, String>> = fields.iterator()

    companion object {
        val NONE = Headers(emptyList())

        fun of(vararg fields: Pair<String, String>) = Headers(fields.toList())
    }
}

/**
 * Request as read from a caller, or to be sent to a server.
 *
 * @property uri path and query, byte for byte as the caller sent them
 */
class HttpRequestMessage(
    val method: String,
    val uri: String,
    val headers: Headers,
    val body: ByteArray = EMPTY_BODY,
) {
    val path: String get() = uri.substringBefore('?')

    /** Value of the query parameter [name], percent-decoded, or null. */
    fun query(name: String): String? =
        uri
            .substringAfter('?', "")
            .split('&')
            .firstOrNull { it.substringBefore('=') == name }
            ?.substringAfter('=', "")
            ?.let { java.net.URLDecoder.decode(it, Charsets.UTF_8) }
}

/** Answer of guavashore itself or of a server, complete. */
class HttpResponseMessage(
    val status: Int,
    val headers: Headers = Headers.NONE,
    val body: ByteArray = EMPTY_BODY,
)

val EMPTY_BODY = ByteArray(0)

/** Why an exchange with a server did not yield a complete answer. */
sealed class ExchangeFailure(
    message: String,
) : java.io.IOException(message) {
    /** No connection came about: no byte of the request has left. */
    class NotConnected(
        reason: String,
    ) : ExchangeFailure("no connection: $reason")

    /** The connection ended or spoke nonsense before the answer was complete: the request may have run. */
    class Broken(
        reason: String,
    ) : ExchangeFailure("answer incomplete: $reason")
}
