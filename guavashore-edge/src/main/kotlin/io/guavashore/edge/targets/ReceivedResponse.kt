/*
 * Beginning of a response that was checked to belong to the request sent last on its connection.
 *
 * A faulty target may send a second copy of a response, late, where the response to the next request is due. Nothing is
 * taken from a response before its id has been compared with that of the request. One without an id could belong to any
 * request that the connection has carried, and one that states an id or a receipt twice may be joined from two.
 */
package io.guavashore.edge.targets

import io.github.oshai.kotlinlogging.KotlinLogging
import io.guavashore.net.HttpConnection
import io.guavashore.net.ResponseHead

private val log = KotlinLogging.logger {}

/**
 * Beginning of a server's response; the body is read from the connection.
 *
 * @property exchangeNumber number of the request to which this is the response on its connection, counted from 1
 */
data class ReceivedResponse(
    val head: ResponseHead,
    val metadata: ResponseMetadata,
    val exchangeNumber: Int,
)

/** Fields of log lines about this response; null if there was none. */
internal fun ReceivedResponse?.logFields(): String =
    "status=${this?.head?.status} response_to=${this?.metadata?.requestId} exchange=${this?.exchangeNumber} " +
        "receipt=${this?.metadata?.receipt}"

/**
 * Waits for the response to the request that was sent last. Returns null, and closes the connection, if the response
 * may belong to another one: if it states another id, or several, or none on a connection that has carried other
 * requests, unless the request has none either.
 *
 * @param server key and name of the server in log lines
 */
internal suspend fun HttpConnection.receiveHead(
    server: String,
    metadataOf: (ResponseHead) -> ResponseMetadata,
): ReceivedResponse? {
    val head = head()
    val metadata = metadataOf(head)
    val statedId = metadata.requestId
    val isOnlyOne = statedId == null && isFirstExchange
    if (!metadata.isAmbiguous && (statedId == requestId || isOnlyOne)) {
        return ReceivedResponse(head, metadata, exchangeNumber)
    }
    log.warn {
        "response to another request, connection closed: $server status=${head.status} request=$requestId " +
            "response_to=$statedId ambiguous=${metadata.isAmbiguous} exchange=$exchangeNumber"
    }
    close()
    return null
}
