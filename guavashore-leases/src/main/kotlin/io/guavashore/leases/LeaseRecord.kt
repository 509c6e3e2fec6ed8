/*
 * Stored form of a lease: one versioned object in the platform's store, changed only by conditional updates.
 */
package io.guavashore.leases

import io.guavashore.api.FencingNumber
import io.guavashore.api.Incarnation
import io.guavashore.api.TargetId
import io.guavashore.api.VmId
import kotlinx.serialization.Serializable

/** Process that holds a lease or contends for it. */
@Serializable
data class LeaseHolder(
    val vm: VmId,
    val incarnation: Incarnation,
)

/** Order that the holder is about to send to the platform; recorded before the order is sent. */
@Serializable
data class OrderIntent(
    val orderId: String,
    val kind: IntentKind,
    val pool: String = "",
    val team: String = "",
    val cheap: Boolean = false,
    val target: TargetId? = null,
)

/** Kind of an order: to start or to stop a target. */
@Serializable
enum class IntentKind { START, STOP }

/**
 * Lease object.
 *
 * @property renewal changes on each write, so that a writer that received no response can recognise its own write
 * @property intent the one order that may be in progress
 * @property released set by a holder that stops, so that a successor need not wait for the lease to expire
 */
@Serializable
data class LeaseRecord(
    val holder: LeaseHolder,
    val fencingNumber: FencingNumber,
    val renewal: Long,
    val intent: OrderIntent? = null,
    val released: Boolean = false,
)
