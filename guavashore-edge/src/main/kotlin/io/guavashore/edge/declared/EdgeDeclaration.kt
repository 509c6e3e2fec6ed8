/*
 * What operators have declared for the edge: routes, services, organisations and their keys, limits on callers.
 */
package io.guavashore.edge.declared

import io.guavashore.api.OrganisationId
import io.guavashore.api.ServiceId
import io.guavashore.api.ZoneId
import io.guavashore.net.CallerLimits

/** Route's name, stable over versions of the declaration. */
@JvmInline
value class RouteId(
    val value: String,
) {
    override fun toString() = value
}

/** Model that engines serve and trainers train. */
@JvmInline
@kotlinx.serialization.Serializable
value class ModelId(
    val value: String,
) {
    override fun toString() = value
}

/** What may be repeated on a route. */
enum class RouteKind {
    /** Requests that may run more than once. */
    SAFE,

    /** Requests that may run once at most. */
    UNSAFE,

    /** Answers are event streams; run once at most unless the route is resumable. */
    STREAMING,

    /** Batches of items that run later. */
    BATCH,
}

/** Service that serves a share of a route's requests. */
data class WeightedService(
    val service: ServiceId,
    val weight: Int,
)

/**
 * Terms of batches on a route.
 *
 * @property dueMs time from the first submission to the moment at which results are wanted
 * @property giveUpMs time from the first submission after which an item may be given up
 * @property singleVersion true if all events of a text must come from one version of the weights
 */
data class BatchConfig(
    val dueMs: Long,
    val giveUpMs: Long,
    val singleVersion: Boolean,
)

/**
 * Route of requests to services.
 *
 * @property timeoutMs longest time that a request may be kept waiting
 * @property objectiveMs time within which an answer is worth most
 * @property priority rank, 0 the most urgent
 * @property maxAttempts targets that may run one request
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
 * @property slots requests that one engine runs at once
 * @property memoryTokens tokens that fit into one engine's memory
 */
data class EngineSpec(
    val slots: Int,
    val memoryTokens: Int,
    val models: List<ModelId>,
)

/** Bounds of the number of targets in each availability zone, and what they cost there. */
data class ScalingSpec(
    val min: Int,
    val max: Int,
    val bootMs: Long,
    val spotPriceFactor: Double?,
    val priceByZone: Map<ZoneId, Double>,
)

/** Service with its targets' terms; [maxConnections] holds for all callers of one target together. */
data class ServiceSpec(
    val id: ServiceId,
    val maxConnections: Int,
    val engine: EngineSpec? = null,
    val scaling: ScalingSpec? = null,
)

/** One version of the declaration. */
class EdgeDeclaration(
    val version: Long,
    val routes: List<Route>,
    val services: Map<ServiceId, ServiceSpec>,
    val organisationByKey: Map<String, OrganisationId>,
    val limits: CallerLimits,
) {
    private val routesByHost: Map<String, List<Route>> =
        routes.groupBy { it.host }.mapValues { (_, routes) -> routes.sortedByDescending { it.pathPrefix.length } }

    /** True if callers must present a key on routes that are not public. */
    val requiresKeys: Boolean get() = organisationByKey.isNotEmpty()

    /** Route with the longest prefix of [path] on [host], or null. */
    fun route(
        host: String,
        path: String,
    ): Route? = routesByHost[host]?.firstOrNull { path.startsWith(it.pathPrefix) }

    /** True if any route has this host. */
    fun hasHost(host: String): Boolean = host in routesByHost
}
