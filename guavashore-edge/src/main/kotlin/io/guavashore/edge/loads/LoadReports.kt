/*
 * Newest report of each target's load, received from the target itself or from a peer.
 *
 * A report ends with the process that sent it. Only reports that this VM received itself are sent to peers, so that
 * none travels on after its time. Their number in a message has a bound.
 */
package io.guavashore.edge.loads

import io.guavashore.api.TargetId
import io.guavashore.edge.declared.TargetEntry
import io.guavashore.edge.targets.ReportedLoad

/** Reports of one VM. Not thread-safe. */
internal class LoadReports {
    private val byTarget = HashMap<TargetId, LoadReport>()

    operator fun get(target: TargetId): LoadReport? = byTarget[target]

    /** Returns the report of the process that [target] describes; null if there is none. */
    fun of(target: TargetEntry): LoadReport? = byTarget[target.id]?.takeIf { it.bornAtMs == target.bornAtMs }

    /** Records [report] unless a later one, or one of a later process, is known. */
    fun record(
        target: TargetId,
        report: LoadReport,
    ) {
        val known = byTarget[target]
        if (known == null || isNewer(report, known)) byTarget[target] = report
    }

    /** Records what a peer received from targets. */
    fun onNews(
        news: List<LoadNews>,
        nowMs: Long,
        ownRequests: (TargetId) -> Int,
    ) = news.take(MAX_NEWS).filter { it.isPlausible && it.ageMs <= NEWS_MAX_AGE_MS }.forEach {
        val load = ReportedLoad(it.running, it.waiting, it.slots, it.slowdown)
        val report = LoadReport(load, nowMs - it.ageMs, it.bornAtMs, ownRequests(it.target), isDirect = false)
        record(it.target, report)
    }

    /** Reports to send to peers: the newest that this VM received from targets that state their speed. */
    fun news(
        nowMs: Long,
        isShared: (TargetId) -> Boolean,
    ): List<LoadNews> =
        byTarget.entries
            .filter { (_, report) -> report.load.slowdown != null && report.isDirect }
            .filter { (_, report) -> nowMs - report.receivedAtMs <= NEWS_MAX_AGE_MS }
            .sortedByDescending { it.value.receivedAtMs }
            .mapNotNull { (target, report) -> if (isShared(target)) news(target, report, nowMs) else null }
            .take(MAX_NEWS)

    fun retain(targets: Set<TargetId>) {
        byTarget.keys.retainAll(targets)
    }

    private fun news(
        target: TargetId,
        report: LoadReport,
        nowMs: Long,
    ): LoadNews? {
        val load = report.load
        val slowdown = load.slowdown ?: return null
        if (load.slots <= 0) return null
        val ageMs = nowMs - report.receivedAtMs
        return LoadNews(target, load.running, load.waiting, load.slots, slowdown, ageMs, report.bornAtMs)
    }

    private fun isNewer(
        report: LoadReport,
        known: LoadReport,
    ): Boolean {
        val isSameProcess = report.bornAtMs == known.bornAtMs || report.bornAtMs == null || known.bornAtMs == null
        return if (isSameProcess) {
            report.receivedAtMs >= known.receivedAtMs
        } else {
            report.bornAtMs > known.bornAtMs
        }
    }

    companion object {
        /** A report of this age still tells the number of requests that a short queue holds. */
        const val NEWS_MAX_AGE_MS = 400L
        const val MAX_NEWS = 12
    }
}
