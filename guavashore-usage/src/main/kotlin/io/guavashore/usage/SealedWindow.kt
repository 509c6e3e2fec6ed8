/*
 * Figures of a window, fixed for good by one conditional update in the platform's store.
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

/** Usage that came after its window was sealed and is reported with a later one. */
@Serializable
data class Adjustment(
    val windowStartMs: Long,
    val organisation: OrganisationId,
    val amount: UsageAmount,
)

/** A sealed window; whoever sends it sends [report] as it stands. */
@Serializable
data class SealedWindow(
    val report: UsageReport,
    val adjustments: List<Adjustment> = emptyList(),
    val sent: Boolean = false,
)

/** Counters of one availability zone, written by its lease holder. */
@Serializable
data class ZoneUsage(
    val counters: List<UsageCounter>,
)

/** Prefix of all zones' counters. */
const val ZONE_USAGE_PREFIX = "usage/zones/"

fun zoneUsagePath(zone: ZoneId) = ObjectPath("$ZONE_USAGE_PREFIX$zone")

/** Newest sealed windows of a team, oldest first; one object, so that the store's calls do not grow with time. */
@Serializable
data class TeamWindows(
    val windows: List<SealedWindow> = emptyList(),
)

fun teamWindowsPath(team: TeamId) = ObjectPath("usage/windows/$team")

/**
 * Figures of the window that starts at the report's start, from all [counters] known now and the windows [sealed]
 * before. What has come for those since they were sealed becomes adjustments.
 */
fun sealWindow(
    empty: UsageReport,
    counters: List<UsageCounter>,
    sealed: List<SealedWindow>,
): SealedWindow {
    val totals = counters.totals(empty.team, empty.windowStartMs)
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
    return SealedWindow(empty.copy(lines = lines), adjustments)
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
        // Counters of an old window may have been forgotten here; only growth is ever reported.
        val late = total.max(reported + adjusted) - (reported + adjusted)
        if (late.isZero()) null else Adjustment(start, organisation, late)
    }
}
