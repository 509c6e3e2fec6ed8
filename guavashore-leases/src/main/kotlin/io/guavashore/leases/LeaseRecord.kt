/*
 * Lease as the platform's store holds it: one versioned object, changed only by conditional update.
 */
package io.guavashore.leases

import io.guavashore.api.FencingNumber
import io.guavashore.api.Incarnation
import io.guavashore.api.TargetId
import io.guavashore.api.VmId
import kotlinx.serialization.Serializable

/** Process that holds or wants a lease. */
@Serializable
data class LeaseHolder(
    val vm: VmId,
    val incarnation: Incarnation,
)

/** Order that the holder means to send; written before the order leaves. */
@Serializable
data class OrderIntent(
    val orderId: String,
    val kind: IntentKind,
    val pool: String = "",
    val team: String = "",
    val cheap: Boolean = false,
    val target: TargetId? = null,
)

/** Kinds of orders. */
@Serializable
enum class IntentKind { START, STOP }

/**
 * Lease object. [renewal] is written anew on each update, so that a writer who lost an answer recognises its own
 * write. [intent] is the one order that may be under way. A holder that stops sets [released]; a successor need not
 * wait then.
 */
@Serializable
data class LeaseRecord(
    val holder: LeaseHolder,
    val fencingNumber: FencingNumber,
    val renewal: Long,
    val intent: OrderIntent? = null,
    val released: Boolean = false,
)
