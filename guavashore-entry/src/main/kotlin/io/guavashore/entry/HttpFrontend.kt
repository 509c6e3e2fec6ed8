/*
 * HTTP server for callers and trainers: maps paths to routes.
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
 * HTTP server of one entry. Ktor's plugin that cancels a call when its caller disconnects is not used: it sometimes
 * cancels a call with `Connection: close` whose caller is still waiting.
 */
internal class HttpFrontend(
    endpoint: Endpoint,
    private val services: EntryServices,
    private val stepRoutes: StepRoutes,
) {
    private val generateRoute = GenerateRoute(services)
    private val plainRoute = PlainRoute(services)
    private val openCallCount = AtomicInteger()

    private val server: EmbeddedServer<*, *> =
        embeddedServer(CIO, host = endpoint.host, port = endpoint.port) { routes() }

    /** Number of calls in progress. */
    val openCalls: Int get() = openCallCount.get()

    fun start() {
        server.start(wait = false)
    }

    /** Port on which the server listens; differs from the endpoint's if that is 0. */
    suspend fun port(): Int =
        server.engine
            .resolvedConnectors()
            .first()
            .port

    fun stop() = server.stop(gracePeriodMillis = 0, timeoutMillis = STOP_TIMEOUT_MS)

    private fun Application.routes() {
        routing {
            route("/v1/{team}") {
                route("/trainers/{trainer}/steps/{step}") {
                    put { handleCall(call) { stepRoutes.put(call) } }
                    get { handleCall(call) { stepRoutes.status(call) } }
                    post("/pull") { handleCall(call) { stepRoutes.pull(call) } }
                }
                post("/{service}/generate") { handleCall(call) { admit(call)?.let { generateRoute.handle(call, it) } } }
                route("/{service}/call/{path...}") {
                    handle { handleCall(call) { admit(call)?.let { plainRoute.handle(call, it) } } }
                }
            }
            route("{...}") { handle { handleCall(call) { call.respondProblem(unknownRoute()) } } }
        }
    }

    private suspend fun admit(call: ApplicationCall): AdmittedCall? {
        val team = TeamId(call.parameters["team"].orEmpty())
        val service = ServiceId(call.parameters["service"].orEmpty())
        return services.admissionController
            .admit(team, service, call.request.header(HttpHeaders.Authorization))
            .getOrElse {
                call.respondProblem(it)
                null
            }
    }

    private suspend fun handleCall(
        call: ApplicationCall,
        block: suspend () -> Unit,
    ) {
        openCallCount.incrementAndGet()
        try {
            block()
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            services.metrics.count("calls.broken", "reason" to e.javaClass.simpleName)
            if (call.response.isCommitted) throw e
            log.warn { "call failed unexpectedly, responding with an error: cause=${e.javaClass.simpleName}" }
            call.respondProblem(internalError())
        } finally {
            openCallCount.decrementAndGet()
        }
    }

    private fun unknownRoute() =
        Refusal(RefusalKind.UNKNOWN_ROUTE, "no such route; docs/API.md lists the routes", notRun = true)

    private fun internalError() =
        Refusal(RefusalKind.TARGET_FAILED, "the entry failed during the call; the call may have run", notRun = false)

    private companion object {
        const val STOP_TIMEOUT_MS = 2_000L
    }
}
