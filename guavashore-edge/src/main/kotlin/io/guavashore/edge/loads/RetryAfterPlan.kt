/*
 * Time after which a caller is told to retry when all targets of a service are full.
 *
 * Load pattern: a burst or a slow target fills a service of a few targets, and callers on tens of VMs are refused
 * within some tens of milliseconds. Room comes back at the rate at which slots are freed. Callers that were told the
 * same time would fill it again in one instant. Each VM therefore assigns its part of that rate, one interval a caller,
 * and draws a time within the interval. Callers of a higher rank go before those of a lower one that were told earlier.
 */
package io.guavashore.edge.loads

import io.guavashore.api.ServiceId
import kotlin.random.Random

/**
 * Rank of a request where room is short: the organisation's priority goes before that of the route, and a lower number
 * goes before a higher one.
 */
internal data class RequestRank(
    val organisationPriority: Int,
    val routePriority: Int,
) : Comparable<RequestRank> {
    override fun compareTo(other: RequestRank): Int =
        compareValuesBy(this, other, { it.organisationPriority }, { it.routePriority })
}

/**
 * Rate at which a service frees slots.
 *
 * @property freedPerMs slots freed per millisecond by all targets of the service
 * @property waiting requests that wait at the targets
 * @property vms number of VMs that send callers there
 */
internal data class RoomRate(
    val freedPerMs: Double,
    val waiting: Double,
    val vms: Int,
)

/** Times told to the callers of one VM. Not thread-safe. */
internal class RetryAfterPlan(
    private val random: Random = Random.Default,
) {
    private class Told(
        val returnsAtMs: Long,
        val rank: RequestRank,
    )

    private val toldByService = HashMap<ServiceId, ArrayList<Told>>()

    /** Returns the time after which a caller with [rank], who has [leftMs] until its deadline, should retry. */
    fun retryAfterMs(
        service: ServiceId,
        room: RoomRate,
        rank: RequestRank,
        leftMs: Long,
        nowMs: Long,
    ): Long {
        val told = toldByService.getOrPut(service) { ArrayList() }
        told.removeIf { it.returnsAtMs <= nowMs }
        val intervalMs = maxOf(1, room.vms) / (maxOf(room.freedPerMs, MIN_FREED_PER_MS) * RETURNING_SHARE)
        val waitMs = room.waiting / maxOf(room.freedPerMs, MIN_FREED_PER_MS)
        val ahead = told.count { it.rank <= rank }
        val dueMs = MIN_MS + waitMs + (ahead + random.nextDouble()) * intervalMs
        val retryAfterMs = withinCallersTime(dueMs, leftMs)
        if (told.size < MAX_TOLD) told += Told(nowMs + retryAfterMs, rank)
        return retryAfterMs
    }

    /** True if a caller of a lower rank than [rank] was told to return and has not yet. */
    fun outranksWaiting(
        service: ServiceId,
        rank: RequestRank,
        nowMs: Long,
    ): Boolean = toldByService[service]?.any { it.returnsAtMs > nowMs && it.rank > rank } ?: false

    /** Callers for whom room comes too late are told times at which they can still be served, spread over a while. */
    private fun withinCallersTime(
        dueMs: Double,
        leftMs: Long,
    ): Long {
        val latestMs = maxOf(MIN_MS, leftMs / CALLERS_PART)
        if (dueMs <= latestMs) return dueMs.toLong()
        return latestMs - random.nextLong(latestMs / 2 + 1)
    }

    private companion object {
        /** Below this, a caller would return before its refusal has been sent and a new connection opened. */
        const val MIN_MS = 10L

        /** Callers wait for a third of the time that they have left, and need the rest to be served. */
        const val CALLERS_PART = 3

        /** New requests take the other half of the slots that are freed. */
        const val RETURNING_SHARE = 0.5
        const val MIN_FREED_PER_MS = 0.001
        const val MAX_TOLD = 1_000
    }
}
