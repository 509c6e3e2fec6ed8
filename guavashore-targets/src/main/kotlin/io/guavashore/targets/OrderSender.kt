/*
 * Sends start and stop orders, one at a time. The intent of an order is recorded in the lease before it is sent,
 * and the order is sent only if the lease outlasts the order's own timeout, so that a successor can settle what was
 * under way.
 */
package io.guavashore.targets

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrElse
import io.github.oshai.kotlinlogging.KotlinLogging
import io.guavashore.api.FencingNumber
import io.guavashore.api.MonotonicClock
import io.guavashore.api.PoolId
import io.guavashore.api.TargetKind
import io.guavashore.api.TeamId
import io.guavashore.api.ZoneId
import io.guavashore.leases.HeldLease
import io.guavashore.leases.IntentKind
import io.guavashore.leases.OrderIntent
import io.guavashore.platform.PlatformError
import io.guavashore.platform.PlatformStage
import io.guavashore.platform.PlatformTarget
import io.guavashore.platform.StartOrder
import io.guavashore.platform.StopOrder
import io.guavashore.platform.TargetOrders
import kotlinx.coroutines.withTimeoutOrNull

private val log = KotlinLogging.logger {}

/** Lease that orders are sent under. */
class OrderLease(
    val held: () -> HeldLease?,
    val recordIntent: suspend (OrderIntent?) -> HeldLease?,
)

/** Outcome of an order. */
sealed interface OrderOutcome {
    data object Done : OrderOutcome

    data object NoneAvailable : OrderOutcome

    /** Not sent, or refused; nothing was done. */
    data class NotDone(
        val reason: String,
    ) : OrderOutcome

    /** Sent without an answer; the intent stays recorded until [OrderSender.settle] has read the state back. */
    data object Unknown : OrderOutcome
}

/** Sender for one availability zone. Not thread-safe. */
class OrderSender(
    private val zone: ZoneId,
    private val lease: OrderLease,
    private val orders: TargetOrders,
    private val clock: MonotonicClock,
    private val kindOf: (TeamId, PoolId) -> TargetKind?,
    private val orderTimeoutMs: Long = 1_500,
    private val marginMs: Long = 1_000,
) {
    /** Sends the order that [intent] stands for. */
    suspend fun send(intent: OrderIntent): OrderOutcome {
        val recorded = lease.recordIntent(intent) ?: return OrderOutcome.NotDone("the lease is not held")
        if (recorded.untilMs - clock() <
            orderTimeoutMs + marginMs
        ) {
            return OrderOutcome.NotDone("the lease ends too soon")
        }
        val outcome = withTimeoutOrNull(orderTimeoutMs) { dispatch(intent, recorded.fencingNumber) }
        val result = outcome ?: Err(PlatformError.Unavailable("timeout"))
        result.getError()?.let { return failed(it) }
        log.info { "order done: ${intent.kind} ${intent.target ?: intent.pool} in $zone" }
        lease.recordIntent(null)
        return OrderOutcome.Done
    }

    /**
     * Settles an intent that a predecessor or a lost answer left open. The order can't arrive any more: its sender
     * closed the connection at the order's timeout, before its own lease ended. Its effect, if any, shows in the
     * list.
     */
    suspend fun settle(): Boolean {
        val intent = lease.held()?.record?.intent ?: return true
        val present = orders.list(zone).getOrElse { return false }
        log.info {
            "order settled: ${intent.kind} ${intent.target ?: intent.pool}, effective: ${present.shows(
                intent,
            )}"
        }
        return lease.recordIntent(null) != null
    }

    private suspend fun failed(error: PlatformError): OrderOutcome {
        if (error is PlatformError.Unavailable) {
            settle()
            return OrderOutcome.Unknown
        }
        lease.recordIntent(null)
        return if (error is PlatformError.NoneAvailable) {
            OrderOutcome.NoneAvailable
        } else {
            OrderOutcome.NotDone(
                error.message,
            )
        }
    }

    private suspend fun dispatch(
        intent: OrderIntent,
        fencingNumber: FencingNumber,
    ): Result<Unit, PlatformError> =
        when (intent.kind) {
            IntentKind.START -> start(intent, fencingNumber)
            IntentKind.STOP -> {
                val target = intent.target ?: return Err(PlatformError.Refused("a stop order names a target"))
                orders.stop(zone, StopOrder(intent.orderId, target, fencingNumber))
            }
        }

    private suspend fun start(
        intent: OrderIntent,
        fencingNumber: FencingNumber,
    ): Result<Unit, PlatformError> {
        val team = TeamId(intent.team)
        val pool = PoolId(intent.pool)
        val kind = kindOf(team, pool) ?: return Err(PlatformError.Refused("pool $pool is no longer declared"))
        val order = StartOrder(intent.orderId, team, pool, kind, intent.cheap, fencingNumber)
        orders.start(zone, order).getOrElse { return Err(it) }
        return Ok(Unit)
    }

    private fun List<PlatformTarget>.shows(intent: OrderIntent): Boolean =
        when (intent.kind) {
            IntentKind.START -> any { it.orderId == intent.orderId }
            IntentKind.STOP -> none { it.id == intent.target && it.stage != PlatformStage.STOPPED }
        }
}
