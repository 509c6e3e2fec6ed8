/*
 * Connection settings of HTTP clients of targets.
 */
package io.guavashore.calls

import io.ktor.client.engine.cio.CIOEngineConfig
import io.ktor.client.engine.cio.endpoint

private const val MAX_CONNECTIONS = 20_000
private const val CONNECT_TIMEOUT_MS = 500L
private const val KEEP_ALIVE_MS = 5_000L

/** Configures a client of targets for many connections and for a short time-out on unreachable targets. */
fun configureTargetConnections(config: CIOEngineConfig) {
    config.maxConnectionsCount = MAX_CONNECTIONS
    config.endpoint {
        maxConnectionsPerRoute = MAX_CONNECTIONS
        connectTimeout = CONNECT_TIMEOUT_MS
        keepAliveTime = KEEP_ALIVE_MS
    }
}
