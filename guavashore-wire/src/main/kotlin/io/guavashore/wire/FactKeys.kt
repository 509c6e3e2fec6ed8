/*
 * Keys of the facts that stewards distribute and entries receive.
 */
package io.guavashore.wire

import io.guavashore.api.TeamId
import io.guavashore.api.VmId
import io.guavashore.api.ZoneId

/** Keys and key prefixes of facts, with the content and the term of each fact. */
object FactKeys {
    /** Content: a `TeamSnapshot`; term: its revision. */
    const val CONFIGURATION = "config/"

    /** Content: a `TargetTable`; term: fencing number of the zone's lease. */
    const val TARGETS = "targets/"

    /** Content: list of `SuspectRecord`; term: incarnation of the VM's steward. */
    const val SUSPECTS = "suspects/"

    /** Content: id of the VM whose steward holds the lease; term: fencing number of the lease. */
    const val LEADER = "leader/"

    /** Content: list of `VmRow`; term: fencing number of the coordinator's lease. */
    const val VMS = "vms"

    /** Name of the leader role that only one steward in the system holds at a time. */
    const val COORDINATOR = "coordinator"

    fun configuration(team: TeamId) = "$CONFIGURATION$team"

    fun targets(zone: ZoneId) = "$TARGETS$zone"

    fun suspects(vm: VmId) = "$SUSPECTS$vm"

    fun leader(role: String) = "$LEADER$role"
}
