/*
 * Sends orders to start or stop targets, one at a time. The intent of an order is recorded in the lease before the
 * order is sent, so that the next lease holder can find out whether an unfinished order took effect. An order is sent
 * only if the lease outlasts the order's timeout.
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

/**
 * Access to the lease that orders are sent under.
 *
 * @property held returns the held lease, or null if it is not held
 * @property recordIntent writes an intent, or null to clear it, into the lease; returns null if that failed or the
 *   lease is not held
 */
class OrderLease(
    val held: () -> HeldLease?,
    val recordIntent: suspend (OrderIntent?) -> HeldLease?,
)

/** Outcome of an order. */
sealed interface OrderOutcome {
    data object Done : OrderOutcome

    /** The platform has no target of the requested kind available. */
    data object NoneAvailable : OrderOutcome

    /** The order was not sent, or the platform refused it. */
    data class NotDone(
        val reason: String,
    ) : OrderOutcome

    /** The order was sent without a response. [OrderSender.reconcile] has to clear the recorded intent. */
    data object Unknown : OrderOutcome
}

/**
 * Sends the orders of one availability zone. Not thread-safe.
 *
 * @param kindOf returns the kind of a pool's targets, or null if the pool is not declared
 * @param leaseMarginMs minimum time from an order's timeout to the end of the lease
 */
class OrderSender(
    private val zone: ZoneId,
    private val lease: OrderLease,
    private val orders: TargetOrders,
    private val clock: MonotonicClock,
    private val kindOf: (TeamId, PoolId) -> TargetKind?,
    private val orderTimeoutMs: Long = 1_500,
    private val leaseMarginMs: Long = 1_000,
) {
    /** Records [intent] in the lease, sends its order, and clears the intent once the outcome is known. */
    suspend fun send(intent: OrderIntent): OrderOutcome {
        val recorded = lease.recordIntent(intent) ?: return OrderOutcome.NotDone("intent not recorded: lease not held")
        if (recorded.untilMs - clock() <
            orderTimeoutMs + leaseMarginMs
        ) {
            return OrderOutcome.NotDone("lease ends in less than ${orderTimeoutMs + leaseMarginMs} ms")
        }
        val outcome = withTimeoutOrNull(orderTimeoutMs) { dispatch(intent, recorded.fencingNumber) }
        val result = outcome ?: Err(PlatformError.Unavailable("timeout"))
        result.getError()?.let { return handleFailure(it) }
        log.info { "order done: ${intent.kind} ${intent.target ?: intent.pool} in $zone" }
        lease.recordIntent(null)
        return OrderOutcome.Done
    }

    /**
     * Clears an intent that was left open by the previous lease holder or by a lost response; returns true if none is
     * open afterwards. The order can no longer reach the platform: its sender closed the connection at the order's
     * timeout, before its lease ended. The platform's list of targets shows whether the order took effect.
     */
    suspend fun reconcile(): Boolean {
        val intent = lease.held()?.record?.intent ?: return true
        val present = orders.list(zone).getOrElse { return false }
        log.info {
            "order reconciled: ${intent.kind} ${intent.target ?: intent.pool}, effective: ${present.showsEffectOf(
                intent,
            )}"
        }
        return lease.recordIntent(null) != null
    }

    private suspend fun handleFailure(error: PlatformError): OrderOutcome {
        if (error is PlatformError.Unavailable) {
            reconcile()
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
                val target = intent.target ?: return Err(PlatformError.Refused("stop order without a target"))
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

    private fun List<PlatformTarget>.showsEffectOf(intent: OrderIntent): Boolean =
        when (intent.kind) {
            IntentKind.START -> any { it.orderId == intent.orderId }
            IntentKind.STOP -> none { it.id == intent.target && it.stage != PlatformStage.STOPPED }
        }
}
