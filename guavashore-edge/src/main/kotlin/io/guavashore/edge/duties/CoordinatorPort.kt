/*
 * Calls to the platform that one VM makes at a time, as function types that an adapter fills in.
 */
package io.guavashore.edge.duties

import io.guavashore.api.OrganisationId
import io.guavashore.api.ServiceId
import io.guavashore.api.ZoneId

/**
 * Under which right a call is made.
 *
 * @property isHeld false once the right has run out; asked at the moment of sending, since opening a connection takes
 * time, and the process may have stood still meanwhile
 */
class LeaseGrant(
    val holder: String,
    val fencingNumber: Long,
    val isHeld: () -> Boolean,
)

/** What came of a call. */
enum class PlatformCallOutcome {
    DONE,

    /** The platform can't do it now, such as start targets where none are to be had. */
    IMPOSSIBLE_NOW,

    /** The platform refused the call or did not answer; the same call may be made again. */
    AGAIN,
}

/** Usage of one window, per organisation. */
data class UsageReport(
    val window: Long,
    val requests: Map<OrganisationId, Long>,
)

/** Number of targets of a service that a zone should have. */
data class TargetCount(
    val service: ServiceId,
    val zone: ZoneId,
    val count: Int,
)

/** The platform's duty calls. */
class CoordinatorPort(
    val reportUsage: suspend (UsageReport, LeaseGrant) -> PlatformCallOutcome,
    val orderTargets: suspend (TargetCount, LeaseGrant) -> PlatformCallOutcome,
)
