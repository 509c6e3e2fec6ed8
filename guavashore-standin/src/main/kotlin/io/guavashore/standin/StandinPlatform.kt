/*
 * Stand-in of the platform: object store, target orders, usage intake, VM list and weight store over HTTP. Routes under
 * /admin inject faults and publish weights.
 */
package io.guavashore.standin

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOr
import com.github.michaelbull.result.getOrElse
import io.guavashore.api.TargetId
import io.guavashore.api.ZoneId
import io.guavashore.platform.LatestWeightsBody
import io.guavashore.platform.ObjectPath
import io.guavashore.platform.ObjectVersion
import io.guavashore.platform.PlatformRefusalBody
import io.guavashore.platform.StartOrder
import io.guavashore.platform.StopOrder
import io.guavashore.platform.StoreError
import io.guavashore.platform.UsageReport
import io.guavashore.platform.VmRow
import io.guavashore.platform.WriteRequestBody
import io.guavashore.platform.WriteResponseBody
import io.guavashore.testing.InMemoryStore
import io.guavashore.testing.StoreFault
import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.Application
import io.ktor.server.application.ApplicationCall
import io.ktor.server.cio.CIO
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.embeddedServer
import io.ktor.server.request.receiveText
import io.ktor.server.response.respondText
import io.ktor.server.routing.Routing
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.put
import io.ktor.server.routing.routing
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList

/** Everything the stand-in has observed, to be compared with the results of callers and the usage reports. */
@Serializable
data class StandinObservations(
    val orderRuns: Map<String, Int>,
    val usage: List<UsageReport>,
    val conflictingReports: Int,
    val storeCalls: Long,
    val ordersByFencing: Map<String, Int>,
    val targets: List<String>,
)

/** Stand-in platform on [port] of 127.0.0.1; port 0 selects a free one. */
class StandinPlatform(
    port: Int,
    val fleet: StandinFleet,
    vms: List<VmRow>,
) : AutoCloseable {
    /** Object store; its `fault` property injects faults. */
    val objectStore = InMemoryStore()

    /** VMs that the platform lists. */
    val vms = CopyOnWriteArrayList(vms)

    /** Port in use; after [start] the actual one. */
    var port = port
        private set

    private val weights = ConcurrentHashMap<String, Long>()
    private val usage = CopyOnWriteArrayList<UsageReport>()
    private val json = Json { ignoreUnknownKeys = true }
    private val server: EmbeddedServer<*, *> = embeddedServer(CIO, host = "127.0.0.1", port = port) { routes() }

    fun start() {
        server.start(wait = false)
        port = runBlocking { server.engine.resolvedConnectors() }.first().port
    }

    override fun close() = server.stop(gracePeriodMillis = 0, timeoutMillis = 0)

    private fun Application.routes() {
        routing {
            storeRoutes()
            orderRoutes()
            usageVmAndWeightRoutes()
            adminRoutes()
        }
    }

    private fun Routing.storeRoutes() {
        get("/object") {
            val found = objectStore.asStore.read(ObjectPath(query(call, "path")))
            if (found.isOk && found.getOr(null) == null) {
                call.respondText("none", status = HttpStatusCode.NotFound)
            } else {
                respondStoreResult(call, found)
            }
        }
        put("/object") {
            val body = json.decodeFromString<WriteRequestBody>(call.receiveText())
            val written = objectStore.asStore.write(ObjectPath(body.path), body.value, ObjectVersion(body.expected))
            if (written.getError() is StoreError.Conflict) {
                call.respondText("conflict", status = HttpStatusCode.Conflict)
            } else {
                respondStoreResult(call, written) { json.encodeToString(WriteResponseBody(it.value)) }
            }
        }
        get("/objects") { respondStoreResult(call, objectStore.asStore.list(query(call, "prefix"))) }
        get("/watch") {
            val cursor = query(call, "cursor").toLong()
            respondStoreResult(
                call,
                objectStore.asStore.watch(query(call, "prefix"), cursor, query(call, "waitMs").toLong()),
            )
        }
    }

    private fun Routing.orderRoutes() {
        get("/zones/{zone}/targets") {
            fleet.removeCrashed()
            respondJson(call, json.encodeToString(fleet.list(zoneOf(call))))
        }
        post("/zones/{zone}/targets") {
            val order = json.decodeFromString<StartOrder>(call.receiveText())
            fleet.receivedOrders += ReceivedOrder("start", zoneOf(call).value, order.orderId, order.fencingNumber.value)
            when {
                !fleet.acceptFencingNumber(zoneOf(call), order.fencingNumber.value) ->
                    refuse(call, PlatformRefusalBody.FENCED)
                order.cheap && fleet.cheapUnavailable -> refuse(call, PlatformRefusalBody.NONE_AVAILABLE)
                else -> respondJson(call, json.encodeToString(fleet.start(zoneOf(call), order)))
            }
        }
        post("/zones/{zone}/targets/{target}/stop") {
            val order = json.decodeFromString<StopOrder>(call.receiveText())
            fleet.receivedOrders += ReceivedOrder("stop", zoneOf(call).value, order.orderId, order.fencingNumber.value)
            if (!fleet.acceptFencingNumber(
                    zoneOf(call),
                    order.fencingNumber.value,
                )
            ) {
                return@post refuse(call, PlatformRefusalBody.FENCED)
            }
            fleet.stop(order.target)
            respondJson(call, "{}")
        }
    }

    private fun Routing.usageVmAndWeightRoutes() {
        post("/usage") {
            usage += json.decodeFromString<UsageReport>(call.receiveText())
            respondJson(call, "{}")
        }
        get("/vms") { respondJson(call, json.encodeToString(vms.toList())) }
        get(
            "/weights/{team}/{pool}",
        ) { respondJson(call, json.encodeToString(LatestWeightsBody(weights[poolOf(call)]))) }
    }

    private fun Routing.adminRoutes() {
        post("/admin/store/{fault}") {
            objectStore.fault = StoreFault.valueOf(call.parameters["fault"].orEmpty().uppercase())
            call.respondText("ok")
        }
        post("/admin/weights/{team}/{pool}/{version}") {
            publishWeights(poolOf(call), call.parameters["version"].orEmpty().toLong())
            call.respondText("ok")
        }
        post("/admin/crash/{target}") {
            val crashed = fleet.crash(TargetId(call.parameters["target"].orEmpty()))
            call.respondText(crashed.toString())
        }
        post("/admin/reclaim/{zone}/{noticeMs}") {
            call.respondText(fleet.reclaim(zoneOf(call), call.parameters["noticeMs"].orEmpty().toLong()).toString())
        }
        post("/admin/no-cheap/{value}") {
            fleet.cheapUnavailable = call.parameters["value"].toBoolean()
            call.respondText("ok")
        }
        post("/admin/vms/remove/{vm}") {
            vms.removeIf { it.vm.value == call.parameters["vm"] }
            call.respondText("ok")
        }
        get("/admin/truth") { respondJson(call, json.encodeToString(observations())) }
    }

    /** Publishes [version] as the newest weights of [pool], which is given as `team/pool`. */
    fun publishWeights(
        pool: String,
        version: Long,
    ) {
        weights[pool] = version
        fleet.newestWeights = maxOf(fleet.newestWeights, version)
    }

    fun observations(): StandinObservations {
        val conflictingWindows =
            usage.groupBy { it.team to it.windowStartMs }.count { (_, reports) ->
                reports.map { it.lines }.distinct().size >
                    1
            }
        return StandinObservations(
            orderRuns = fleet.orderRunCounter.counts(),
            usage = usage.toList(),
            conflictingReports = conflictingWindows,
            storeCalls = objectStore.calls,
            ordersByFencing =
                fleet.receivedOrders
                    .toList()
                    .groupingBy { "${it.zone}/${it.fencingNumber}" }
                    .eachCount(),
            targets = fleet.engines().map { it.id.value },
        )
    }

    private suspend inline fun <reified T> respondStoreResult(
        call: ApplicationCall,
        result: Result<T, StoreError>,
        encode: (T) -> String = { json.encodeToString(it) },
    ) {
        val error = result.getError()
        when {
            error is StoreError.Unavailable ->
                call.respondText(
                    error.message,
                    status = HttpStatusCode.ServiceUnavailable,
                )
            error != null -> call.respondText(error.message, status = HttpStatusCode.BadRequest)
            else -> respondJson(call, encode(result.value()))
        }
    }

    private suspend fun refuse(
        call: ApplicationCall,
        kind: String,
    ) = call.respondText(
        json.encodeToString(PlatformRefusalBody(kind)),
        ContentType.Application.Json,
        HttpStatusCode.Conflict,
    )

    private suspend fun respondJson(
        call: ApplicationCall,
        body: String,
    ) = call.respondText(body, ContentType.Application.Json)

    private fun query(
        call: ApplicationCall,
        name: String,
    ): String = call.request.queryParameters[name].orEmpty()

    private fun zoneOf(call: ApplicationCall) = ZoneId(call.parameters["zone"].orEmpty())

    private fun poolOf(call: ApplicationCall) = "${call.parameters["team"]}/${call.parameters["pool"]}"
}

private fun <T> Result<T, StoreError>.value(): T = getOrElse { error("value() called on an error result") }
