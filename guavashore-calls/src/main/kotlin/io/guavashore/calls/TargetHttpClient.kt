/*
 * HTTP client towards targets.
 */
package io.guavashore.calls

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.engine.cio.endpoint

private const val MAX_CONNECTIONS = 20_000
private const val CONNECT_TIMEOUT_MS = 500L
private const val KEEP_ALIVE_MS = 5_000L

/** Client towards targets. It never follows redirects, which could lead to hosts that are no targets. */
fun targetHttpClient(): HttpClient =
    HttpClient(CIO) {
        expectSuccess = false
        followRedirects = false
        engine {
            requestTimeout = 0
            maxConnectionsCount = MAX_CONNECTIONS
            endpoint {
                maxConnectionsPerRoute = MAX_CONNECTIONS
                connectTimeout = CONNECT_TIMEOUT_MS
                keepAliveTime = KEEP_ALIVE_MS
            }
        }
    }
