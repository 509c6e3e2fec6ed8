/*
 * Connections towards targets.
 */
package io.guavashore.calls

import io.ktor.client.engine.cio.CIOEngineConfig
import io.ktor.client.engine.cio.endpoint

private const val MAX_CONNECTIONS = 20_000
private const val CONNECT_TIMEOUT_MS = 500L
private const val KEEP_ALIVE_MS = 5_000L

/** Lets a client of targets open many connections, and give up soon on a target that can't be reached. */
fun configureTargetConnections(config: CIOEngineConfig) {
    config.maxConnectionsCount = MAX_CONNECTIONS
    config.endpoint {
        maxConnectionsPerRoute = MAX_CONNECTIONS
        connectTimeout = CONNECT_TIMEOUT_MS
        keepAliveTime = KEEP_ALIVE_MS
    }
}
