/*
 * Control connections to other stewards.
 */
package io.guavashore.steward

import io.guavashore.api.Endpoint
import io.guavashore.wire.ControlClient
import io.ktor.network.selector.SelectorManager
import java.util.concurrent.ConcurrentHashMap

/** Clients by address; one connection each. */
internal class Peers(
    private val selector: SelectorManager,
    private val timeoutMs: Long = 600,
) {
    private val clients = ConcurrentHashMap<Endpoint, ControlClient>()

    fun client(endpoint: Endpoint): ControlClient =
        clients.computeIfAbsent(endpoint) {
            ControlClient(it, selector, timeoutMs)
        }

    /** Closes the connections to members that are gone. */
    fun retain(live: Set<Endpoint>) {
        clients.keys.filter { it !in live }.forEach { clients.remove(it)?.close() }
    }
}
