/*
 * Tracks targets that are being drained. Entries are the processes that send requests to the targets listed in a table.
 * A target may be stopped once every live entry has reported that it uses a table which shows the target as leaving,
 * and that it has no request in flight there.
 */
package io.guavashore.targets

import io.guavashore.api.TargetId
import io.guavashore.api.VmId

/** Report of one entry: the sequence of the table that it uses, and the number of its requests in flight by target. */
data class InFlightReport(
    val tableSequence: Long,
    val inFlight: Map<TargetId, Int>,
)

/** Drain state of one zone, kept by the holder of the zone's lease. Not thread-safe. */
class DrainTracker {
    private val leavingSince = HashMap<TargetId, Long>()
    private val reports = HashMap<VmId, InFlightReport>()

    /** Marks [target] as leaving, as of the table with [tableSequence]. An earlier mark stays. */
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

    /**
     * Returns the leaving targets that may be stopped; none if [liveEntries] is empty. Drops the reports of entries
     * that are no longer live.
     */
    fun drained(liveEntries: Set<VmId>): List<TargetId> {
        reports.keys.retainAll(liveEntries)
        return leavingSince
            .filter { (target, sequence) ->
                liveEntries.isNotEmpty() &&
                    liveEntries.all { hasDrained(it, target, sequence) }
            }.keys
            .toList()
    }

    /** Removes the mark of a target that is no longer leaving or no longer exists. */
    fun forget(target: TargetId) {
        leavingSince.remove(target)
    }

    private fun hasDrained(
        entry: VmId,
        target: TargetId,
        sequence: Long,
    ): Boolean {
        val report = reports[entry] ?: return false
        return report.tableSequence >= sequence && (report.inFlight[target] ?: 0) == 0
    }
}
