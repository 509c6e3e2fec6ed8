/*
 * Reports of the load of targets, with their age, and the part of them that VMs send to each other.
 *
 * Load pattern: tens of VMs send a dozen requests a second in all to a few targets of a plain service, so each VM hears
 * from a target once in several seconds, while its speed changes many times a second.
 */
package io.guavashore.edge.loads

import io.guavashore.api.TargetId
import io.guavashore.edge.targets.ReportedLoad
import kotlinx.serialization.Serializable

/**
 * Report that a VM received in a response of a target, as sent to its peers.
 *
 * @property slowdown duration of work relative to the usual one; 1.0 is as usual
 * @property ageMs age of the report at the time of sending
 * @property bornAtMs start of the target's process, in Unix milliseconds; null if its entry states none
 */
@Serializable
data class LoadNews(
    val target: TargetId,
    val running: Int,
    val waiting: Int,
    val slots: Int,
    val slowdown: Double,
    val ageMs: Long,
    val bornAtMs: Long? = null,
) {
    /** True if all figures are in the ranges in which VMs send them. */
    internal val isPlausible: Boolean
        get() = running >= 0 && waiting >= 0 && slots > 0 && slowdown.isFinite() && slowdown > 0 && ageMs >= 0
}

/**
 * Report of a target's load as known to this VM.
 *
 * @property receivedAtMs monotonic time at which a VM received it, as far as known
 * @property bornAtMs start of the process that sent it, in Unix milliseconds
 * @property ownRequests number of this VM's requests on the target at that time
 * @property isDirect true if this VM received it from the target
 * @property isRefusal true if it came with a refusal
 */
internal data class LoadReport(
    val load: ReportedLoad,
    val receivedAtMs: Long,
    val bornAtMs: Long?,
    val ownRequests: Int = 0,
    val isDirect: Boolean = true,
    val isRefusal: Boolean = false,
) {
    val requests: Int get() = load.running + load.waiting
}
