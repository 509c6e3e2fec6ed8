/*
 * HTTP endpoints for operators and the load balancer: metrics, health, readiness and status.
 */
package io.guavashore.metrics

import io.guavashore.api.Endpoint
import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.cio.CIO
import io.ktor.server.engine.embeddedServer
import io.ktor.server.response.respondText
import io.ktor.server.routing.get
import io.ktor.server.routing.routing

/** Returns null if the process is ready, else the reason why it is not. */
typealias CheckReadiness = () -> String?

/** Returns the process's status as a JSON document. */
typealias RenderStatus = () -> String

/** HTTP server of the operations endpoints. */
class OperationsServer(
    endpoint: Endpoint,
    metrics: Metrics,
    ready: CheckReadiness,
    status: RenderStatus,
) : AutoCloseable {
    private val server =
        embeddedServer(CIO, host = endpoint.host, port = endpoint.port) {
            routing {
                get("/metrics") { call.respondText(metrics.scrape()) }
                get("/healthz") { call.respondText("ok\n") }
                get("/readyz") {
                    val reason = ready()
                    val code = if (reason == null) HttpStatusCode.OK else HttpStatusCode.ServiceUnavailable
                    call.respondText("${reason ?: "ok"}\n", status = code)
                }
                get("/status") { call.respondText(status(), ContentType.Application.Json) }
            }
        }

    fun start() {
        server.start(wait = false)
    }

    override fun close() = server.stop(gracePeriodMillis = 0, timeoutMillis = STOP_TIMEOUT_MS)

    private companion object {
        const val STOP_TIMEOUT_MS = 200L
    }
}
