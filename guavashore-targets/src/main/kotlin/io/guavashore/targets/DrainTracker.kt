/*
 * Targets on their way out. A target may be stopped once every live entry has confirmed, with a table that shows it
 * leaving, that nothing of it runs there.
 */
package io.guavashore.targets

import io.guavashore.api.TargetId
import io.guavashore.api.VmId

/** Report of one entry: the newest table it follows and what it runs on each target. */
data class InFlightReport(
    val tableSequence: Long,
    val inFlight: Map<TargetId, Int>,
)

/** Tracker of one lease holder. Not thread-safe. */
class DrainTracker {
    private val leavingSince = HashMap<TargetId, Long>()
    private val reports = HashMap<VmId, InFlightReport>()

    /** Marks [target] as leaving from the table with [tableSequence] on. */
    fun markLeaving(
        target: TargetId,
        tableSequence: Long,
    ) {
        leavingSince.putIfAbsent(target, tableSequence)
    }

    fun isLeaving(target: TargetId): Boolean = target in leavingSince

    val leaving: Set<TargetId> get() = leavingSince.keys

    fun report(
        entry: VmId,
        report: InFlightReport,
    ) {
        reports[entry] = report
    }

    /** Targets that may be stopped, given the entries that are live now. */
    fun drained(liveEntries: Set<VmId>): List<TargetId> {
        reports.keys.retainAll(liveEntries)
        return leavingSince
            .filter { (target, sequence) ->
                liveEntries.isNotEmpty() &&
                    liveEntries.all { isClear(it, target, sequence) }
            }.keys
            .toList()
    }

    /** Takes back a target that is no longer to leave, or forgets one that is gone. */
    fun forget(target: TargetId) {
        leavingSince.remove(target)
    }

    private fun isClear(
        entry: VmId,
        target: TargetId,
        sequence: Long,
    ): Boolean {
        val report = reports[entry] ?: return false
        return report.tableSequence >= sequence && (report.inFlight[target] ?: 0) == 0
    }
}
