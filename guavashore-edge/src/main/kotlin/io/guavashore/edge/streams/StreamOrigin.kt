/*
 * Origin of an event stream. Software versions of one service may serve side by side, and what two of them generate
 * does not fit together, so a stream may go on only at the version that began it. Targets do not check this.
 */
package io.guavashore.edge.streams

import io.guavashore.api.ServiceId
import io.guavashore.edge.declared.SoftwareVersion
import io.guavashore.edge.declared.TargetEntry
import kotlinx.serialization.Serializable

/** Service and software version that generated the first event of a stream. */
@Serializable
data class StreamOrigin(
    val service: ServiceId,
    val software: SoftwareVersion,
) {
    /** True if the stream may go on at [target]. */
    fun includes(target: TargetEntry): Boolean = target.service == service && target.software == software

    companion object {
        fun of(target: TargetEntry) = StreamOrigin(target.service, target.software)
    }
}
