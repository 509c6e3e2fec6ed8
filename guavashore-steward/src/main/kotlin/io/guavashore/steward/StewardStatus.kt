/*
 * Status of a steward, as returned by `/status` of its operations endpoint.
 */
package io.guavashore.steward

import io.guavashore.api.Endpoint
import io.guavashore.api.FencingNumber
import io.guavashore.api.VmId
import io.guavashore.api.ZoneId
import io.guavashore.configuration.RevisionStatus
import io.guavashore.membership.MemberState
import kotlinx.serialization.Serializable

/** Status of one steward. A lease is the fencing number under which the steward holds it, or null. */
@Serializable
internal data class StewardStatus(
    val vm: VmId,
    val zone: ZoneId,
    val revisions: List<RevisionStatus>,
    val members: List<MemberStatus>,
    val zoneLease: FencingNumber?,
    val coordinatorLease: FencingNumber?,
    val controlBytes: Long,
)

/** A member in the view of the reporting steward. */
@Serializable
internal data class MemberStatus(
    val vm: VmId,
    val zone: ZoneId,
    val operations: Endpoint,
    val state: MemberState,
)
