/*
 * Selects the target for one attempt. A pure function of the entry node's state: its own outstanding requests have
 * a larger weight than the reported load, which lags behind.
 */
package io.guavashore.routing

import io.guavashore.api.Target
import io.guavashore.api.TargetId
import io.guavashore.api.TargetStage
import io.guavashore.api.ZoneId
import io.guavashore.api.rendezvousRank

/**
 * A target, with this entry node's present view of it.
 *
 * @property outstanding number of this node's requests running on the target
 * @property limit maximum of [outstanding], this node's share of the target's slots
 * @property reportedLoad load last reported by the target, 0.0 idle to 1.0 full; lags behind the actual load
 * @property heldExclusively true while a suspect request runs alone on the target
 * @property warmUpFraction usable fraction of [limit], above 0; rises to 1 while a new target warms up
 * @property speed relative to the fastest target of the pool, above 0 and at most 1
 */
data class Candidate(
    val target: Target,
    val outstanding: Int,
    val limit: Int,
    val reportedLoad: Double = 0.0,
    val ejected: Boolean = false,
    val heldExclusively: Boolean = false,
    val warmUpFraction: Double = 1.0,
    val speed: Double = 1.0,
)

/**
 * Requirements of an attempt on its target.
 *
 * @property homeZone availability zone whose targets are preferred
 * @property prefixKey identifies a shared prompt prefix; null if there is none
 * @property exclude targets that must not be picked
 * @property exclusive true if the target must have no outstanding requests
 * @property reservedSlots slots that must stay free on the target
 */
data class PickRequest(
    val homeZone: ZoneId,
    val prefixKey: String? = null,
    val exclude: Set<TargetId> = emptySet(),
    val exclusive: Boolean = false,
    val reservedSlots: Int = 0,
)

/** Returns the target to use, or null if no target meets the requirements. */
fun pickTarget(
    candidates: List<Candidate>,
    request: PickRequest,
): Candidate? {
    val usable = candidates.filter { it.hasRoomFor(request) }
    val pool = usable.filter { it.target.id !in request.exclude }.ifEmpty { return null }
    val local = pool.filter { it.target.zone == request.homeZone }.ifEmpty { pool }
    return preferredByPrefix(local, request) ?: local.minWith(byLoad)
}

private fun Candidate.hasRoomFor(request: PickRequest): Boolean =
    target.stage == TargetStage.SERVING &&
        !ejected &&
        !heldExclusively &&
        outstanding < effectiveLimit() - request.reservedSlots &&
        (!request.exclusive || outstanding == 0)

private fun Candidate.effectiveLimit(): Int = if (limit == 0) 0 else maxOf(1, (limit * warmUpFraction).toInt())

private fun Candidate.load(): Double = (outstanding + 1.0) / (limit * speed) + REPORTED_LOAD_WEIGHT * reportedLoad

private val byLoad = compareBy<Candidate>({ it.load() }, { it.target.id })

/**
 * Returns the target that most likely has the prefix in its cache; null if there is no prefix, or if that target's load
 * exceeds the lowest load by more than [PREFIX_LOAD_BOUND].
 */
private fun preferredByPrefix(
    candidates: List<Candidate>,
    request: PickRequest,
): Candidate? {
    val key = request.prefixKey ?: return null
    val byId = candidates.associateBy { it.target.id }
    val preferred = byId.getValue(rendezvousRank(key, byId.keys).first())
    val lowestLoad = candidates.minOf { it.load() }
    return preferred.takeIf { it.load() <= lowestLoad + PREFIX_LOAD_BOUND }
}

private const val REPORTED_LOAD_WEIGHT = 0.25
private const val PREFIX_LOAD_BOUND = 0.25
