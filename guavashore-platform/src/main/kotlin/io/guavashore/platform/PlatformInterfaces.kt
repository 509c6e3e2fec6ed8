/*
 * The platform's other interfaces as function types: target orders, usage reports, VM list and weight store.
 */
package io.guavashore.platform

import com.github.michaelbull.result.Result
import io.guavashore.api.Endpoint
import io.guavashore.api.FencingNumber
import io.guavashore.api.OrganisationId
import io.guavashore.api.PoolId
import io.guavashore.api.TargetId
import io.guavashore.api.TargetKind
import io.guavashore.api.TeamId
import io.guavashore.api.UsageAmount
import io.guavashore.api.VmId
import io.guavashore.api.WeightVersion
import io.guavashore.api.ZoneId
import kotlinx.serialization.Serializable

/** Why a call to the platform failed. */
sealed interface PlatformError {
    val message: String

    /** The platform refused the call and did nothing. */
    data class Refused(
        val reason: String,
    ) : PlatformError {
        override val message = "the platform refused the call: $reason"
    }

    /** The fencing number is lower than one already seen; the sender must stop acting as the lease's holder. */
    data object Fenced : PlatformError {
        override val message = "the fencing number is out of date; another steward holds the lease"
    }

    /** No target of the requested price class is available now. */
    data object NoneAvailable : PlatformError {
        override val message = "no target of this price class is available; try the other class or retry later"
    }

    /** No response; the call may or may not have taken effect. */
    data class Unavailable(
        val reason: String,
    ) : PlatformError {
        override val message = "the platform did not respond ($reason); read its state back before retrying"
    }
}

/** Lifecycle stage of a target as the platform reports it. */
@Serializable
enum class PlatformStage { STARTING, RUNNING, RECLAIMING, STOPPED }

/** Target as the platform lists it; [orderId] is the id of the order that started the target. */
@Serializable
data class PlatformTarget(
    val id: TargetId,
    val team: TeamId,
    val pool: PoolId,
    val kind: TargetKind,
    val zone: ZoneId,
    val endpoint: Endpoint,
    val cheap: Boolean,
    val stage: PlatformStage,
    val startedAtMs: Long = 0,
    val orderId: String? = null,
)

/** Order to start one target; [orderId] makes it safe to repeat. */
@Serializable
data class StartOrder(
    val orderId: String,
    val team: TeamId,
    val pool: PoolId,
    val kind: TargetKind,
    val cheap: Boolean,
    val fencingNumber: FencingNumber,
)

/** Order to stop one target. */
@Serializable
data class StopOrder(
    val orderId: String,
    val target: TargetId,
    val fencingNumber: FencingNumber,
)

/** Lists, starts and stops the targets of an availability zone. */
class TargetOrders(
    val list: suspend (zone: ZoneId) -> Result<List<PlatformTarget>, PlatformError>,
    val start: suspend (zone: ZoneId, order: StartOrder) -> Result<PlatformTarget, PlatformError>,
    val stop: suspend (zone: ZoneId, order: StopOrder) -> Result<Unit, PlatformError>,
)

/** Final usage of one organisation in one window. */
@Serializable
data class UsageLine(
    val organisation: OrganisationId,
    val amount: UsageAmount,
    val adjustment: UsageAmount = UsageAmount(),
)

/** Usage report of one team's window; a repeated report carries the same figures. */
@Serializable
data class UsageReport(
    val team: TeamId,
    val windowStartMs: Long,
    val windowEndMs: Long,
    val fencingNumber: FencingNumber,
    val lines: List<UsageLine>,
)

/** Sends a usage report. */
typealias SendUsage = suspend (report: UsageReport) -> Result<Unit, PlatformError>

/** State of a VM in the platform's list; the list may be out of date. */
@Serializable
enum class VmState { LIVE, LEAVING }

/** Row of the platform's VM list. [control] is the address of the VM's steward. */
@Serializable
data class VmRow(
    val vm: VmId,
    val zone: ZoneId,
    val control: Endpoint,
    val state: VmState,
)

/** Lists the VMs of the system. */
typealias ListVms = suspend () -> Result<List<VmRow>, PlatformError>

/** Returns the newest weight version of a pool, or null before the first. */
typealias LatestWeights = suspend (team: TeamId, pool: PoolId) -> Result<WeightVersion?, PlatformError>

/** Interfaces of the platform that the control path uses. */
class Platform(
    val store: ObjectStore,
    val orders: TargetOrders,
    val sendUsage: SendUsage,
    val listVms: ListVms,
    val latestWeights: LatestWeights,
)
