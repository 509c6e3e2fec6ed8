/*
 * Address of a process. Only IP addresses are accepted, because host names are not resolved at run time.
 */
package io.guavashore.api

import kotlinx.serialization.Serializable

/**
 * IP address and port, written `127.0.0.1:8080`.
 *
 * @throws IllegalArgumentException if [port] is not in 0..65535
 */
@Serializable
data class Endpoint(
    val host: String,
    val port: Int,
) {
    init {
        require(port in 0..MAX_PORT) { "port $port is outside 0..$MAX_PORT" }
    }

    override fun toString() = "$host:$port"

    companion object {
        private const val MAX_PORT = 65_535
        private const val MAX_OCTET = 255
        private val addressPattern = Regex("""(\d{1,3}(?:\.\d{1,3}){3}|\[[0-9a-fA-F:]+])\:(\d{1,5})""")

        /** Parses `IP:PORT`, or returns null if [text] is not in this format. */
        fun parseOrNull(text: String): Endpoint? {
            val match = addressPattern.matchEntire(text) ?: return null
            val port = match.groupValues[2].toInt()
            val host = match.groupValues[1]
            return if (port <= MAX_PORT && isAddress(host)) Endpoint(host, port) else null
        }

        /** False for an IPv4 address with an octet out of range; the pattern admits any three digits. */
        private fun isAddress(host: String) = host.startsWith('[') || host.split('.').all { it.toInt() <= MAX_OCTET }
    }
}
