/*
 * Permits for requests that are sent as soon as their target has room, such as items and score calls.
 */
package io.guavashore.edge.limits

import io.guavashore.api.TargetId

/** Permits of the coordinator's own requests. */
class PermitSource(
    /** Number of requests that may be sent to a target now. */
    val available: (TargetId) -> Int,
    /** Takes a permit for one request to a target now; null if there is none. */
    val take: (TargetId) -> Permit?,
    /** True while a target is cold, so that other targets are preferred. */
    val isCold: (TargetId) -> Boolean = { false },
) {
    companion object {
        /** Source for targets that limit nothing. */
        val UNLIMITED = PermitSource(available = { Int.MAX_VALUE }, take = { Permit(it) })
    }
}
