/*
 * Ids and totals of the limited resources that entries claim shares of; entries and stewards must use the same ids.
 */
package io.guavashore.wire

import io.guavashore.admission.ResourceId
import io.guavashore.api.OrganisationDeclaration
import io.guavashore.api.OrganisationId
import io.guavashore.api.TargetId
import io.guavashore.api.TeamId

/** Ids and totals of the shared resources. */
object SharedResources {
    /** Shares are integers, so that rates are shared in thousandths per second. */
    const val RATE_SCALE = 1_000L

    fun slots(target: TargetId) = ResourceId.of("slots/$target")

    fun requests(
        team: TeamId,
        organisation: OrganisationId,
    ) = ResourceId.of("requests/$team/$organisation")

    fun tokens(
        team: TeamId,
        organisation: OrganisationId,
    ) = ResourceId.of("tokens/$team/$organisation")

    fun concurrency(
        team: TeamId,
        organisation: OrganisationId,
    ) = ResourceId.of("concurrency/$team/$organisation")

    /** Returns the resources that [organisation] limits, with their totals. */
    fun limits(
        team: TeamId,
        organisation: OrganisationDeclaration,
    ): Map<ResourceId, Long> =
        mapOf(
            requests(team, organisation.id) to (organisation.requestsPerS * RATE_SCALE).toLong(),
            tokens(team, organisation.id) to (organisation.tokensPerS * RATE_SCALE).toLong(),
            concurrency(team, organisation.id) to organisation.concurrentRequests.toLong(),
        )
}
