/*
 * The operators' declaration as the edge uses it: routes, services, API keys of organisations, limits on callers.
 */
package io.guavashore.edge.declared

import io.guavashore.api.OrganisationId
import io.guavashore.api.ServiceId
import io.guavashore.api.ZoneId
import io.guavashore.net.CallerLimits

/** Name of a route; stable across versions of the declaration. */
@JvmInline
value class RouteId(
    val value: String,
) {
    override fun toString() = value
}

/** Name of a model that engines serve and trainers train. */
@JvmInline
@kotlinx.serialization.Serializable
value class ModelId(
    val value: String,
) {
    override fun toString() = value
}

/** Kind of the requests on a route; determines whether a request may run more than once. */
enum class RouteKind {
    /** A request may run more than once. */
    SAFE,

    /** A request may run at most once. */
    UNSAFE,

    /** The response is an event stream. A request may run at most once unless the route is resumable. */
    STREAMING,

    /** A request submits a batch of items that run later. */
    BATCH,
}

/** Service that receives a share of a route's requests, in proportion to [weight]. */
data class WeightedService(
    val service: ServiceId,
    val weight: Int,
)

/**
 * Configuration of the batches on a route.
 *
 * @property dueMs time from the first submission until the results are due
 * @property giveUpMs time from the first submission after which an item may be given up
 * @property singleVersion true if one version of the weights must generate the complete text of an item
 */
data class BatchConfig(
    val dueMs: Long,
    val giveUpMs: Long,
    val singleVersion: Boolean,
)

/**
 * Route of requests to services.
 *
 * @property timeoutMs upper bound on the time until the response
 * @property objectiveMs response time objective
 * @property priority 0 is the most urgent
 * @property maxAttempts upper bound on the number of targets that may run the same request
 * @property isPublic true if callers need no API key
 * @property isResumable true if another target can resume an interrupted stream
 * @property batch configuration of batches; null if the route takes none
 */
data class Route(
    val id: RouteId,
    val host: String,
    val pathPrefix: String,
    val kind: RouteKind,
    val timeoutMs: Long,
    val objectiveMs: Long,
    val priority: Int,
    val backends: List<WeightedService>,
    val maxAttempts: Int,
    val isPublic: Boolean = false,
    val isResumable: Boolean = false,
    val batch: BatchConfig? = null,
)

/**
 * Model engines of a service.
 *
 * @property slots number of requests that one engine runs concurrently
 * @property memoryTokens number of tokens that fit into the memory of one engine
 */
data class EngineSpec(
    val slots: Int,
    val memoryTokens: Int,
    val models: List<ModelId>,
)

/**
 * Bounds on the number of targets in each availability zone, and their cost.
 *
 * @property bootMs time from the order of a target until it serves
 * @property spotPriceFactor price of a spot target relative to the regular price; null if there are none
 */
data class ScalingSpec(
    val min: Int,
    val max: Int,
    val bootMs: Long,
    val spotPriceFactor: Double?,
    val priceByZone: Map<ZoneId, Double>,
)

/**
 * Service with the limits and the scaling of its targets.
 *
 * @property maxConnections limit on the connections to one target, for all its callers together
 * @property engine null for a service whose targets are not model engines
 * @property scaling null if the number of targets is not managed
 * @property coldStartsPerS requests per second that a cold target bears, from all VMs together; null if targets of the
 * service are never cold
 * @property coldMs time for which a target is cold after its start
 */
data class ServiceSpec(
    val id: ServiceId,
    val maxConnections: Int,
    val engine: EngineSpec? = null,
    val scaling: ScalingSpec? = null,
    val coldStartsPerS: Double? = null,
    val coldMs: Long = 0,
)

/**
 * One version of the declaration.
 *
 * @property priorityByOrganisation goes before the priority of the route; 0 is the most urgent
 * @property requiresKeys true if callers need an API key on routes that are not public, even while no key is left
 */
class EdgeDeclaration(
    val version: Long,
    val routes: List<Route>,
    val services: Map<ServiceId, ServiceSpec>,
    val organisationByKey: Map<String, OrganisationId>,
    val requiresKeys: Boolean,
    val limits: CallerLimits,
    val priorityByOrganisation: Map<OrganisationId, Int> = emptyMap(),
) {
    private val routesByHost: Map<String, List<Route>> =
        routes.groupBy { it.host }.mapValues { (_, routes) -> routes.sortedByDescending { it.pathPrefix.length } }

    /** Returns the route on [host] with the longest path prefix that matches [path], or null. */
    fun route(
        host: String,
        path: String,
    ): Route? = routesByHost[host]?.firstOrNull { path.startsWith(it.pathPrefix) }

    /** True if any route has this host. */
    fun hasHost(host: String): Boolean = host in routesByHost
}
