/*
 * State of one step on the entry node that owns it. Only the trainer's state is durable: the groups that it has
 * received determine the remaining work, so losing a step wastes work but never delivers a sample twice.
 */
package io.guavashore.samples

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.guavashore.api.GenerateRequest
import io.guavashore.api.Generation
import io.guavashore.api.GroupId
import io.guavashore.api.SampleId
import io.guavashore.api.TrainerId
import io.guavashore.api.WeightVersion

/**
 * Speed of the target that a sample runs on, relative to the fastest one of its pool: at most 1, or above 1 if unknown.
 */
typealias SpeedOf = (SampleId) -> Double

/**
 * Conditions for running a second attempt of a straggler: a sample on a target slower than [slowSpeed], or one that
 * takes more than [slowFactor] times the 75th percentile of the durations so far. The latter does not apply on a target
 * known to be faster than [fastSpeed], where the sample is merely long.
 *
 * @property minFinishedShare share of the step's samples that must be generated before stragglers are duplicated
 * @property maxDuplicatedShare maximum share of the step's samples that are duplicated, but at least one sample
 */
data class StragglerConfig(
    val minFinishedShare: Double = 0.5,
    val slowFactor: Double = 1.8,
    val slowSpeed: Double = 0.6,
    val fastSpeed: Double = 0.9,
    val maxDuplicatedShare: Double = 0.05,
)

/** Samples and tokens delivered to the trainer for the first time. */
data class DeliveredAmount(
    val samples: Long = 0,
    val tokens: Long = 0,
)

/** State machine of a step. Not thread-safe. */
class StepState(
    val trainer: TrainerId,
    val request: StepRequest,
    private val maxStalenessVersions: Long,
    nowMs: Long,
    private val stragglers: StragglerConfig = StragglerConfig(),
) {
    /** Phases of a sample, in order: [GENERATED] samples wait for their score. */
    private enum class Phase { WAITING, RUNNING, GENERATED, FINISHED }

    private class SampleState(
        val id: SampleId,
        val group: GroupRequest,
        val seed: Long,
    ) {
        var phase = Phase.WAITING
        var attempts = 0
        var everDuplicated = false
        var startedAtMs = 0L
        var generation: Generation? = null
        var score = 0.0

        fun reset() {
            phase = if (attempts > 0) Phase.RUNNING else Phase.WAITING
            generation = null
        }
    }

    private val openGroups: LinkedHashMap<GroupId, List<SampleState>> = LinkedHashMap()
    private val byId: Map<SampleId, SampleState>
    private val total = request.groups.sumOf { it.samples }
    private var ownerEpoch = request.ownerEpoch
    private var statedVersion = request.statedVersion
    private var droppedStale = 0
    private var droppedUnlabelled = 0
    private var duplicated = 0
    private var wastedTokens = 0L
    private var delivered = DeliveredAmount()
    private val countedGroups = HashSet<GroupId>()
    private val durationsMs = ArrayList<Long>()
    private val startedAtMs = nowMs

    /** Time of the trainer's last call, on the monotonic clock. */
    var lastCallAtMs = nowMs
        private set

    init {
        request.groups.filter { it.id !in request.received }.forEach { group ->
            openGroups[group.id] =
                List(group.samples) { SampleState(SampleId("${group.id}/$it"), group, seed = it.toLong()) }
        }
        byId = openGroups.values.flatten().associateBy { it.id }
    }

    /** Amount delivered since the last call. Delivering a group again after a lost response does not count. */
    fun takeDelivered(): DeliveredAmount = delivered.also { delivered = DeliveredAmount() }

    /** True once the trainer has received every group. */
    fun isComplete(): Boolean = openGroups.isEmpty()

    /** Number of samples waiting for a target or running on one. */
    fun unfinished(): Int = openGroups.values.sumOf { group -> group.count { it.phase <= Phase.RUNNING } }

    /** Checks a repeated submission and adopts its owner epoch and received groups. */
    fun resubmit(
        repeated: StepRequest,
        nowMs: Long,
    ): Result<Unit, StepError> {
        if (repeated.groups != request.groups) return Err(StepError.DifferentContent)
        if (repeated.ownerEpoch < ownerEpoch) return Err(StepError.OldEpoch(ownerEpoch))
        lastCallAtMs = nowMs
        ownerEpoch = repeated.ownerEpoch
        removeReceived(repeated.received)
        return Ok(Unit)
    }

    /** Next sample to start, group by group; once none is waiting, a straggler to run a second time, or null. */
    fun nextWork(
        nowMs: Long,
        speedOf: SpeedOf = { UNKNOWN_SPEED },
    ): SampleWork? {
        val waiting =
            openGroups.values.firstNotNullOfOrNull { group -> group.firstOrNull { it.phase == Phase.WAITING } }
        val state = waiting ?: straggler(nowMs, speedOf) ?: return null
        val duplicate = state.attempts > 0
        if (duplicate) {
            duplicated++
            state.everDuplicated = true
        } else {
            state.startedAtMs = nowMs
        }
        state.attempts++
        state.phase = Phase.RUNNING
        val group = state.group
        val generate = GenerateRequest(group.prompt, group.maxTokens, group.prefixTokens, state.seed)
        return SampleWork(state.id, group.id, generate, duplicate)
    }

    /**
     * Processes the outcome of an attempt to generate [sample]; [generation] is null if the attempt failed.
     *
     * @return true if this is the sample's first result: the caller then scores it and cancels any other attempt
     */
    fun generated(
        sample: SampleId,
        generation: Generation?,
        nowMs: Long,
    ): Boolean {
        val state = byId[sample] ?: return false
        if (state.attempts > 0) state.attempts--
        if (state.phase != Phase.RUNNING) {
            wastedTokens += generation?.tokens?.size ?: 0
            return false
        }
        if (generation == null || !isLabelled(generation)) {
            if (generation != null) droppedUnlabelled++
            wastedTokens += generation?.tokens?.size ?: 0
            state.reset()
            return false
        }
        durationsMs += nowMs - state.startedAtMs
        state.generation = generation
        state.phase = Phase.GENERATED
        return true
    }

    /** Stores the score of [sample]. A second score is ignored. */
    fun scored(
        sample: SampleId,
        score: Double,
    ) {
        val state = byId[sample] ?: return
        if (state.phase != Phase.GENERATED) return
        state.score = score
        state.phase = Phase.FINISHED
    }

    /**
     * Returns complete groups that the trainer has not received and that are fresh by the weight version it states.
     * Stale samples are dropped and generated again. A group is kept until a later request lists it as received.
     */
    fun pull(
        pull: PullRequest,
        nowMs: Long,
    ): Result<PullResponse, StepError> {
        if (pull.ownerEpoch < ownerEpoch) return Err(StepError.OldEpoch(ownerEpoch))
        ownerEpoch = pull.ownerEpoch
        lastCallAtMs = nowMs
        if (pull.statedVersion > statedVersion) statedVersion = pull.statedVersion
        removeReceived(pull.received)
        dropStale()
        val completeGroups = openGroups.filterValues { group -> group.all { it.phase == Phase.FINISHED } }
        val groups =
            completeGroups.entries
                .take(pull.maxGroups)
                .map { (id, group) -> SampleGroup(id, group.map(::sample)) }
        countDelivered(groups)
        return Ok(PullResponse(groups, complete = isComplete()))
    }

    /** True if there is a complete group other than those in [excluded]. */
    fun hasCompleteGroup(excluded: Set<GroupId>): Boolean =
        openGroups.any { (id, group) -> id !in excluded && group.all { it.phase == Phase.FINISHED } }

    /** Progress at [nowMs] on the monotonic clock; [wallNowMs] is the same moment in Unix time. */
    fun status(
        nowMs: Long,
        wallNowMs: Long = nowMs,
    ): StepStatus {
        val open = openGroups.values.flatten()
        val finished = total - open.count { it.phase != Phase.FINISHED }
        return StepStatus(
            trainer = trainer,
            step = request.step,
            samples = total,
            finished = finished,
            running = open.count { it.phase == Phase.RUNNING },
            received = total - open.size,
            droppedStale = droppedStale,
            droppedUnlabelled = droppedUnlabelled,
            duplicated = duplicated,
            wastedTokens = wastedTokens,
            stragglers = open.filter { isSlow(it, nowMs) }.map { it.id },
            expectedEndMs = expectedRemainingMs(finished, nowMs)?.let { wallNowMs + it },
        )
    }

    private fun expectedRemainingMs(
        finished: Int,
        nowMs: Long,
    ): Long? = if (finished == 0) null else (nowMs - startedAtMs) * (total - finished) / finished

    private fun countDelivered(groups: List<SampleGroup>) {
        val samples = groups.filter { countedGroups.add(it.id) }.flatMap { it.samples }
        delivered =
            DeliveredAmount(
                samples = delivered.samples + samples.size,
                tokens = delivered.tokens + samples.sumOf { it.tokens.size },
            )
    }

    private fun removeReceived(received: Set<GroupId>) {
        openGroups.keys.removeAll(received)
    }

    private fun dropStale() {
        val minVersion = WeightVersion(statedVersion.value - maxStalenessVersions)
        openGroups.values.flatten().filter { it.generation?.isOlderThan(minVersion) == true }.forEach { state ->
            droppedStale++
            wastedTokens += state.generation?.tokens?.size ?: 0
            state.reset()
        }
    }

    private fun Generation.isOlderThan(minVersion: WeightVersion) = spans.any { it.version < minVersion }

    private fun isLabelled(generation: Generation) =
        generation.tokens.isNotEmpty() && generation.spans.sumOf { it.count } == generation.tokens.size

    private fun straggler(
        nowMs: Long,
        speedOf: SpeedOf,
    ): SampleState? {
        if (durationsMs.size < total * stragglers.minFinishedShare) return null
        if (duplicated >= maxOf(1.0, total * stragglers.maxDuplicatedShare)) return null
        return openGroups.values
            .flatten()
            .filter { it.phase == Phase.RUNNING && it.attempts == 1 && !it.everDuplicated }
            .filter { isStraggler(it, speedOf(it.id), nowMs) }
            .minByOrNull { it.startedAtMs }
    }

    private fun isStraggler(
        state: SampleState,
        speed: Double,
        nowMs: Long,
    ): Boolean =
        speed < stragglers.slowSpeed || (speed !in stragglers.fastSpeed..MAX_KNOWN_SPEED && isSlow(state, nowMs))

    private fun isSlow(
        state: SampleState,
        nowMs: Long,
    ): Boolean {
        if (state.phase != Phase.RUNNING || durationsMs.isEmpty()) return false
        val typicalDurationMs = durationsMs.sorted()[durationsMs.size * TYPICAL_PERCENTILE / PERCENT]
        return nowMs - state.startedAtMs > typicalDurationMs * stragglers.slowFactor
    }

    private fun sample(state: SampleState): Sample {
        val generation = checkNotNull(state.generation) { "a finished sample has a generation" }
        return Sample(state.id, generation.tokens, generation.spans, state.score)
    }

    private companion object {
        const val UNKNOWN_SPEED = 2.0
        const val MAX_KNOWN_SPEED = 1.0
        const val TYPICAL_PERCENTILE = 75
        const val PERCENT = 100
    }
}
