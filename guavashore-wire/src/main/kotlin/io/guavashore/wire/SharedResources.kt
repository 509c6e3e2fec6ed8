/*
 * Names and totals of the limited resources that entries claim shares of; entries and stewards must agree on them.
 */
package io.guavashore.wire

import io.guavashore.admission.ResourceId
import io.guavashore.api.OrganisationDeclaration
import io.guavashore.api.OrganisationId
import io.guavashore.api.TargetId
import io.guavashore.api.TeamId

/** Resources by name. */
object SharedResources {
    private const val SLOTS = "slots/"

    /** Rates are shared in thousandths per second. */
    const val RATE_UNITS = 1_000L

    fun slots(target: TargetId) = ResourceId("$SLOTS$target")

    /** Target whose slots [resource] stands for, or null if it stands for a limit. */
    fun targetOf(resource: ResourceId): TargetId? =
        resource.value
            .takeIf { it.startsWith(SLOTS) }
            ?.removePrefix(SLOTS)
            ?.let(::TargetId)

    fun requests(
        team: TeamId,
        organisation: OrganisationId,
    ) = ResourceId("requests/$team/$organisation")

    fun tokens(
        team: TeamId,
        organisation: OrganisationId,
    ) = ResourceId("tokens/$team/$organisation")

    fun concurrency(
        team: TeamId,
        organisation: OrganisationId,
    ) = ResourceId("concurrency/$team/$organisation")

    /** Limits of [organisation] with their totals. */
    fun limits(
        team: TeamId,
        organisation: OrganisationDeclaration,
    ): Map<ResourceId, Long> =
        mapOf(
            requests(team, organisation.id) to (organisation.requestsPerS * RATE_UNITS).toLong(),
            tokens(team, organisation.id) to (organisation.tokensPerS * RATE_UNITS).toLong(),
            concurrency(team, organisation.id) to organisation.concurrentRequests.toLong(),
        )
}
