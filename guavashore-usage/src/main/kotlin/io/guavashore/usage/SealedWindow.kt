/*
 * Sealed windows of usage. One conditional update in the platform's store seals a window; after it the amounts of the
 * window no longer change.
 */
package io.guavashore.usage

import io.guavashore.api.OrganisationId
import io.guavashore.api.TeamId
import io.guavashore.api.UsageAmount
import io.guavashore.api.UsageCounter
import io.guavashore.api.ZoneId
import io.guavashore.platform.ObjectPath
import io.guavashore.platform.UsageLine
import io.guavashore.platform.UsageReport
import kotlinx.serialization.Serializable

/** Late usage: became known after its window was sealed, and is reported with a later window. */
@Serializable
data class Adjustment(
    val windowStartMs: Long,
    val organisation: OrganisationId,
    val amount: UsageAmount,
)

/** Sealed window. [report] is sent unchanged, by whichever process sends it. */
@Serializable
data class SealedWindow(
    val report: UsageReport,
    val adjustments: List<Adjustment> = emptyList(),
    val sent: Boolean = false,
)

/** Counters of one availability zone, as written by the holder of the zone's lease. */
@Serializable
data class ZoneUsage(
    val counters: List<UsageCounter>,
)

/** Prefix of the paths of all zones' counters. */
const val ZONE_USAGE_PREFIX = "usage/zones/"

fun zoneUsagePath(zone: ZoneId) = ObjectPath("$ZONE_USAGE_PREFIX$zone")

/** Newest sealed windows of a team, oldest first. They share one object, so that store calls do not grow over time. */
@Serializable
data class TeamWindows(
    val windows: List<SealedWindow> = emptyList(),
)

fun teamWindowsPath(team: TeamId) = ObjectPath("usage/windows/$team")

/**
 * Seals the window of [emptyReport], with the amounts of all [counters] known now. Late usage of the windows [sealed]
 * earlier, which became known after their sealing, is added as adjustments.
 */
fun sealWindow(
    emptyReport: UsageReport,
    counters: List<UsageCounter>,
    sealed: List<SealedWindow>,
): SealedWindow {
    val totals = counters.totals(emptyReport.team, emptyReport.windowStartMs)
    val adjustments = sealed.flatMap { lateUsage(it, counters, sealed) }
    val organisations = totals.keys + adjustments.map { it.organisation }
    val lines =
        organisations.sortedBy { it.value }.map { organisation ->
            UsageLine(
                organisation = organisation,
                amount = totals[organisation] ?: UsageAmount(),
                adjustment =
                    adjustments
                        .filter { it.organisation == organisation }
                        .fold(UsageAmount()) { sum, adjustment -> sum + adjustment.amount },
            )
        }
    return SealedWindow(emptyReport.copy(lines = lines), adjustments)
}

private fun lateUsage(
    window: SealedWindow,
    counters: List<UsageCounter>,
    sealed: List<SealedWindow>,
): List<Adjustment> {
    val start = window.report.windowStartMs
    return counters.totals(window.report.team, start).mapNotNull { (organisation, total) ->
        val reported =
            window.report.lines
                .firstOrNull { it.organisation == organisation }
                ?.amount ?: UsageAmount()
        val adjusted =
            sealed
                .flatMap { it.adjustments }
                .filter { it.windowStartMs == start && it.organisation == organisation }
                .fold(UsageAmount()) { sum, adjustment -> sum + adjustment.amount }
        // Counters of an old window may have expired, so a total below the reported one is ignored.
        val late = total.max(reported + adjusted) - (reported + adjusted)
        if (late.isZero()) null else Adjustment(start, organisation, late)
    }
}
