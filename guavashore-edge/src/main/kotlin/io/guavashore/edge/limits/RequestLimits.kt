/*
 * Request limits on one VM: takes in what targets and peers state, tells the peers, and provides the permits.
 */
package io.guavashore.edge.limits

import io.guavashore.api.MonotonicClock
import io.guavashore.api.TargetId
import io.guavashore.api.VmId
import io.guavashore.edge.peers.Heartbeat
import io.guavashore.edge.peers.NewPeers
import kotlinx.coroutines.delay
import java.util.concurrent.TimeUnit

/** The VMs that limits are sent to. */
class LimitReceivers(
    val sendToAll: (List<TargetRateLimit>) -> Unit,
    val alive: () -> Int,
)

/**
 * Limits and permits of one VM. Not thread-safe.
 *
 * @param onChanged called after a limit has been set or lifted
 */
class RequestLimits(
    val rates: TargetRateLimits,
    val permits: RequestPermits,
    private val receivers: LimitReceivers,
    private val clock: MonotonicClock,
    private val onChanged: () -> Unit,
) {
    private val newPeers = NewPeers(clock)

    /** Takes in what a response of [target] states. Any response may set a limit. */
    fun onResponse(
        target: TargetId,
        statement: RateStatement,
    ) {
        if (statement is RateStatement.Limited) publish(rates.recordNamed(target, statement.requestsPerS))
    }

    /** Takes in a genuine response of [target] that names no limit, to a request sent at [sentAtNs]. */
    fun onNoLimitNamed(
        target: TargetId,
        sentAtNs: Long,
    ) = publish(rates.recordAbsent(target, TimeUnit.NANOSECONDS.toMillis(sentAtNs)))

    /** Takes in limits that a peer sent. */
    fun onPeerLimits(limits: List<TargetRateLimit>) {
        val news = limits.map(rates::onPeerLimit)
        if (news.any { it }) onChanged()
    }

    fun onHeartbeat(heartbeat: Heartbeat) {
        newPeers.onHeartbeat(heartbeat.vmRecord)
        onPeerLimits(heartbeat.rateLimits)
    }

    /** Limits to be sent to [receiver] with a heartbeat: all in force if it has just started, else none. */
    fun forHeartbeat(receiver: VmId?): List<TargetRateLimit> =
        if (receiver != null && newPeers.isNew(receiver)) rates.inForce() else emptyList()

    /** Repeats the limits to all peers while [isSender]: those that were not connected have missed the changes. */
    suspend fun repeatToPeers(isSender: () -> Boolean) {
        while (true) {
            val limits = if (isSender()) rates.inForce() else emptyList()
            if (limits.isNotEmpty()) receivers.sendToAll(limits)
            delay(maxOf(REPEAT_INTERVAL_MS, limits.size * receivers.alive() / MAX_LIMITS_PER_MS))
        }
    }

    private fun publish(changed: TargetRateLimit?) {
        if (changed == null) return
        receivers.sendToAll(listOf(changed))
        onChanged()
    }

    private companion object {
        /** Less than the time within which all VMs must keep to a limit. */
        const val REPEAT_INTERVAL_MS = 500L

        /** Limits sent, counted for each receiver; a limit takes about 40 bytes. */
        const val MAX_LIMITS_PER_MS = 3L
    }
}
