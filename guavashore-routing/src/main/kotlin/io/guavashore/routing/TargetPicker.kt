/*
 * Choice of the target for one attempt. A pure function of what the entry knows: its own outstanding requests first,
 * reported load second.
 */
package io.guavashore.routing

import io.guavashore.api.Target
import io.guavashore.api.TargetId
import io.guavashore.api.TargetStage
import io.guavashore.api.ZoneId
import io.guavashore.api.rendezvousRank

/**
 * A target as this entry sees it now.
 *
 * @property outstanding own requests that run there
 * @property limit how many of them this entry's share allows
 * @property reportedLoad load as the target last reported it, 0.0 idle to 1.0 full; lags
 * @property reserved true while a suspect runs there alone
 * @property speed relative to the fastest target of the pool, above 0 and at most 1
 */
data class Candidate(
    val target: Target,
    val outstanding: Int,
    val limit: Int,
    val reportedLoad: Double = 0.0,
    val ejected: Boolean = false,
    val reserved: Boolean = false,
    val warmUp: Double = 1.0,
    val speed: Double = 1.0,
)

/** What an attempt asks of its target. */
data class PickRequest(
    val homeZone: ZoneId,
    val prefixKey: String? = null,
    val exclude: Set<TargetId> = emptySet(),
    val alone: Boolean = false,
    val keepFree: Int = 0,
)

/** Returns the target to use, or null if none has room. */
fun pickTarget(
    candidates: List<Candidate>,
    request: PickRequest,
): Candidate? {
    val usable = candidates.filter { it.hasRoomFor(request) }
    val pool = usable.filter { it.target.id !in request.exclude }.ifEmpty { return null }
    val local = pool.filter { it.target.zone == request.homeZone }.ifEmpty { pool }
    return prefixHome(local, request) ?: local.minWith(byLoad)
}

private fun Candidate.hasRoomFor(request: PickRequest): Boolean =
    target.stage == TargetStage.SERVING &&
        !ejected &&
        !reserved &&
        outstanding < warmLimit() - request.keepFree &&
        (!request.alone || outstanding == 0)

private fun Candidate.warmLimit(): Int = if (limit == 0) 0 else maxOf(1, (limit * warmUp).toInt())

private fun Candidate.load(): Double = (outstanding + 1.0) / (limit * speed) + REPORTED_LOAD_WEIGHT * reportedLoad

private val byLoad = compareBy<Candidate>({ it.load() }, { it.target.id })

/** The target that most likely caches the prefix, unless it is loaded well above the least loaded one. */
private fun prefixHome(
    candidates: List<Candidate>,
    request: PickRequest,
): Candidate? {
    val key = request.prefixKey ?: return null
    val byId = candidates.associateBy { it.target.id }
    val home = byId.getValue(rendezvousRank(key, byId.keys).first())
    val least = candidates.minOf { it.load() }
    return home.takeIf { it.load() <= least + PREFIX_LOAD_BOUND }
}

private const val REPORTED_LOAD_WEIGHT = 0.25
private const val PREFIX_LOAD_BOUND = 0.25
