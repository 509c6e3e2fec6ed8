/*
 * Platform calls that only the coordinator makes, as function types that an adapter implements.
 */
package io.guavashore.edge.duties

import io.guavashore.api.OrganisationId
import io.guavashore.api.ServiceId
import io.guavashore.api.ZoneId

/**
 * Grant of the coordinator's lease under which a call is made.
 *
 * @property holder id of the VM that holds the lease
 * @property fencingNumber number of the term; receivers refuse calls with a lower number than they have seen
 * @property isHeld false once the lease has expired; checked at the moment of sending, since opening a connection takes
 * time and the VM may have been suspended meanwhile
 */
class LeaseGrant(
    val holder: String,
    val fencingNumber: Long,
    val isHeld: () -> Boolean,
)

/** Outcome of a call to the platform. */
enum class PlatformCallOutcome {
    DONE,

    /** The platform can't execute the call now, for instance because a zone has no capacity for more targets. */
    IMPOSSIBLE_NOW,

    /** The platform refused the call or did not respond; the same call may be retried. */
    AGAIN,
}

/** Number of requests per organisation in one usage window; [window] is the window's number since the Unix epoch. */
data class UsageReport(
    val window: Long,
    val requests: Map<OrganisationId, Long>,
)

/** Desired number of targets of a service in a zone. */
data class TargetCount(
    val service: ServiceId,
    val zone: ZoneId,
    val count: Int,
)

/** Calls to the platform under a lease grant. */
class CoordinatorPort(
    val reportUsage: suspend (UsageReport, LeaseGrant) -> PlatformCallOutcome,
    val orderTargets: suspend (TargetCount, LeaseGrant) -> PlatformCallOutcome,
)
