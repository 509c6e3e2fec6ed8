/*
 * Measures the bytes that an entry and its steward exchange with the lease holders, by targets and organisations.
 */
package io.guavashore.experiment

import io.guavashore.admission.Demand
import io.guavashore.api.Incarnation
import io.guavashore.api.OrganisationDeclaration
import io.guavashore.api.OrganisationId
import io.guavashore.api.TargetId
import io.guavashore.api.TeamId
import io.guavashore.api.VmId
import io.guavashore.membership.FactVersion
import io.guavashore.wire.ControlMessage
import io.guavashore.wire.SharedResources
import io.guavashore.wire.encodeBody
import kotlinx.serialization.Serializable

/** Message sizes for one configuration, without the usage counters, which are sent only when they change. */
@Serializable
data class ReportSizeFigures(
    val targets: Int,
    val organisations: Int,
    val reportBytes: Int,
    val updateBytes: Int,
    val shareRequestBytes: Int,
    val bytesPerS: Int,
)

/** Encodes one entry report, the share request that the steward sends for it, and the responses to both. */
internal fun measureReportSize(
    targets: Int,
    organisations: Int,
): ReportSizeFigures {
    val slots = List(targets) { SharedResources.slots(TargetId("engines-zone-1-$it")) }
    val limits = List(organisations) { limitsOf(it) }.flatMap { it.keys }
    val demands = (slots + limits).associateWith { Demand(desired = 12, inUse = 7, held = SLOTS) }
    val shares = demands.mapValues { SLOTS }
    val versions = List(FACTS) { FactVersion("config/team-$it", term = 17, sequence = 3) }
    val vm = VmId("vm-1")
    val incarnation = Incarnation(STARTED_MS)
    val inFlight = mapOf(TargetId("engines-zone-1-0") to IN_FLIGHT)
    val report = encodedBytes(ControlMessage.EntryReport(vm, incarnation, versions, demands, inFlight))
    val update = encodedBytes(ControlMessage.EntryUpdate(shares = shares, entries = List(ENTRIES) { VmId("vm-$it") }))
    val request = encodedBytes(ControlMessage.ShareRequest(vm, incarnation, demands, inFlight, versions, emptyList()))
    val reply = encodedBytes(ControlMessage.ShareReply(shares))
    return ReportSizeFigures(targets, organisations, report, update, request, (request + reply) * REPORTS_PER_S)
}

private fun limitsOf(index: Int) =
    SharedResources.limits(TeamId("team-1"), OrganisationDeclaration(OrganisationId("organisation-$index")))

private fun encodedBytes(message: ControlMessage) = encodeBody(ControlMessage.serializer(), message).size

private const val FACTS = 8
private const val IN_FLIGHT = 7
private const val SLOTS = 16L
private const val ENTRIES = 7
private const val STARTED_MS = 1_796_000_000_000L
private const val REPORTS_PER_S = 1
