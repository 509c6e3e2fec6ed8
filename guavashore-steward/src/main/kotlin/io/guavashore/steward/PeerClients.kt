/*
 * Control connections to other stewards.
 */
package io.guavashore.steward

import io.guavashore.api.Endpoint
import io.guavashore.wire.ControlClient
import io.ktor.network.selector.SelectorManager
import java.util.concurrent.ConcurrentHashMap

/** Control clients by endpoint, created on first use; each has one connection. */
internal class PeerClients(
    private val selector: SelectorManager,
    private val timeoutMs: Long = 600,
) {
    private val clients = ConcurrentHashMap<Endpoint, ControlClient>()

    fun client(endpoint: Endpoint): ControlClient =
        clients.computeIfAbsent(endpoint) {
            ControlClient(it, selector, timeoutMs)
        }

    /** Closes the connections to all endpoints outside [liveEndpoints]. */
    fun closeAllExcept(liveEndpoints: Set<Endpoint>) {
        clients.keys.filter { it !in liveEndpoints }.forEach { clients.remove(it)?.close() }
    }
}
