/*
 * Checks that the process of a target is the one that its entry describes.
 *
 * A target may start again under its id with another software version. Until its new entry arrives, which takes seconds
 * on a VM that is cut off or was suspended, the directory has the version of the earlier process, and a stream could be
 * joined from two versions. Targets do not state their version in responses, but an engine's report states the start of
 * its process, which can't change while a connection stays open.
 *
 * Load pattern: streams begin hundreds of times a second at targets that rarely restart. A new stream therefore needs
 * no report while a connection over which the target was checked is open. A stream that is resumed always gets one on
 * its own connection, unless that has been checked.
 */
package io.guavashore.edge.targets

import io.github.oshai.kotlinlogging.KotlinLogging
import io.guavashore.api.TargetId
import io.guavashore.edge.declared.TargetEntry
import io.guavashore.edge.limits.Permit
import io.guavashore.net.HttpConnection

private val log = KotlinLogging.logger {}

/** Requests a report over the given connection; null if there is no readable one in time. */
typealias ReportOver = suspend (TargetEntry, HttpConnection) -> EngineReport?

/** Checks of one VM. Not thread-safe. */
class ProcessCheck(
    private val directory: TargetDirectory,
    private val reportOver: ReportOver,
    /** Targets that limit their requests are not checked, since a report counts as a request. */
    private val isLimited: (TargetId) -> Boolean,
    /** Permits for reports of targets that are cold, which have often just restarted and so are checked. */
    private val awaitPermit: AwaitPermit = { Permit(it) },
) {
    /** For each target, the connection over which it was checked last. */
    private val checkedOver = HashMap<TargetId, HttpConnection>()

    /**
     * Returns false if the process at the other end of [connection] does not respond or is not that of the entry
     * [target], which then gets no streams until its entry has changed. A target that does not state its start passes.
     */
    suspend fun isListedProcess(
        target: TargetEntry,
        connection: HttpConnection,
        resumesStream: Boolean,
    ): Boolean {
        val listedMs = target.bornAtMs
        if (listedMs == null || target.versions.isEmpty() || isLimited(target.id)) return true
        if (connection.serverBornAtMs == listedMs || (!resumesStream && isChecked(target.id, listedMs))) return true
        val permit = awaitPermit(target.id)
        val mayAsk = permit != null && permit.isValid()
        if (!mayAsk) log.info { "target not checked, no room within the limit: target=${target.id}" }
        val report = if (mayAsk) reportOver(target, connection) else null
        if (!mayAsk || !connection.isReusable(System.nanoTime())) return false
        val statedMs = report?.bornAtMs ?: listedMs
        connection.serverBornAtMs = statedMs
        checkedOver[target.id] = connection
        if (statedMs == listedMs) return true
        log.warn { "target has restarted, entry outdated: target=${target.id} listed_ms=$listedMs stated_ms=$statedMs" }
        directory.recordOutdated(target)
        return false
    }

    private fun isChecked(
        target: TargetId,
        bornAtMs: Long,
    ): Boolean = checkedOver[target]?.let { it.isOpen && it.serverBornAtMs == bornAtMs } ?: false

    /** Forgets all targets that are not in [listed]. */
    fun retain(listed: Set<TargetId>) {
        checkedOver.keys.retainAll(listed)
    }
}
