/*
 * HTTP server towards callers and trainers.
 */
package io.guavashore.entry

import com.github.michaelbull.result.getOrElse
import io.github.oshai.kotlinlogging.KotlinLogging
import io.guavashore.api.Endpoint
import io.guavashore.api.Refusal
import io.guavashore.api.RefusalKind
import io.guavashore.api.ServiceId
import io.guavashore.api.TeamId
import io.ktor.http.HttpHeaders
import io.ktor.server.application.Application
import io.ktor.server.application.ApplicationCall
import io.ktor.server.cio.CIO
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.embeddedServer
import io.ktor.server.request.header
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.put
import io.ktor.server.routing.route
import io.ktor.server.routing.routing
import kotlinx.coroutines.CancellationException
import java.util.concurrent.atomic.AtomicInteger

private val log = KotlinLogging.logger {}

/**
 * Front of one entry. Ktor's plugin that cancels a call when its caller leaves is not used: it now and then cancels
 * a call that came with `Connection: close`, whose caller still waits.
 */
internal class HttpFront(
    endpoint: Endpoint,
    private val services: EntryServices,
    private val steps: StepRoutes,
) {
    private val generate = GenerateRoute(services)
    private val plain = PlainRoute(services)
    private val open = AtomicInteger()

    private val server: EmbeddedServer<*, *> =
        embeddedServer(CIO, host = endpoint.host, port = endpoint.port) { routes() }

    /** Calls that are being answered. */
    val openCalls: Int get() = open.get()

    fun start() {
        server.start(wait = false)
    }

    /** Port in use. */
    suspend fun port(): Int =
        server.engine
            .resolvedConnectors()
            .first()
            .port

    fun stop() = server.stop(gracePeriodMillis = 0, timeoutMillis = STOP_MS)

    private fun Application.routes() {
        routing {
            route("/v1/{team}") {
                route("/trainers/{trainer}/steps/{step}") {
                    put { guarded(call) { steps.put(call) } }
                    get { guarded(call) { steps.status(call) } }
                    post("/pull") { guarded(call) { steps.pull(call) } }
                }
                post("/{service}/generate") { guarded(call) { admit(call)?.let { generate.handle(call, it) } } }
                route("/{service}/call/{path...}") {
                    handle { guarded(call) { admit(call)?.let { plain.handle(call, it) } } }
                }
            }
            route("{...}") { handle { guarded(call) { call.respondProblem(unknownRoute()) } } }
        }
    }

    private suspend fun admit(call: ApplicationCall): Admitted? {
        val team = TeamId(call.parameters["team"].orEmpty())
        val service = ServiceId(call.parameters["service"].orEmpty())
        return services.gate
            .admit(team, service, call.request.header(HttpHeaders.Authorization))
            .getOrElse {
                call.respondProblem(it)
                null
            }
    }

    private suspend fun guarded(
        call: ApplicationCall,
        block: suspend () -> Unit,
    ) {
        open.incrementAndGet()
        try {
            block()
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            services.metrics.count("calls.broken", "reason" to e.javaClass.simpleName)
            if (call.response.isCommitted) throw e
            log.warn { "a call failed within the entry: ${e.javaClass.simpleName}" }
            call.respondProblem(internalError())
        } finally {
            open.decrementAndGet()
        }
    }

    private fun unknownRoute() =
        Refusal(RefusalKind.UNKNOWN_ROUTE, "no such route; see docs/API.md for the routes", notRun = true)

    private fun internalError() =
        Refusal(RefusalKind.TARGET_FAILED, "the entry failed to answer; it may have run the call", notRun = false)

    private companion object {
        const val STOP_MS = 2_000L
    }
}
