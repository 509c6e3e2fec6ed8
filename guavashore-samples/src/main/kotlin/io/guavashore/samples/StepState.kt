/*
 * State of one step on the entry that owns it. The trainer is the only durable party: what it has received decides
 * what is still to be done, so a lost step costs work but never a sample twice.
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
 * Speed of the target that a sample runs on, against the fastest of its pool, at most 1; above 1 if it is not known.
 */
typealias SpeedOf = (SampleId) -> Double

/**
 * When stragglers are run a second time: those on a target slower than [slowSpeed], and those that take
 * [slowFactor] times as long as most unless their target is known to be faster than [goodSpeed], where they are
 * just long.
 */
data class StragglerConfig(
    val minFinishedShare: Double = 0.5,
    val slowFactor: Double = 1.8,
    val slowSpeed: Double = 0.6,
    val goodSpeed: Double = 0.9,
    val maxDuplicatedShare: Double = 0.05,
)

/** Samples that were handed over for the first time. */
data class HandedOver(
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
    private enum class Phase { WAITING, RUNNING, GENERATED, FINISHED }

    private class Entry(
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

    private val entries: LinkedHashMap<GroupId, List<Entry>> = LinkedHashMap()
    private val byId: Map<SampleId, Entry>
    private val total = request.groups.sumOf { it.samples }
    private var ownerEpoch = request.ownerEpoch
    private var statedVersion = request.statedVersion
    private var droppedStale = 0
    private var droppedUnlabelled = 0
    private var duplicated = 0
    private var wastedTokens = 0L
    private var handedOver = HandedOver()
    private val counted = HashSet<GroupId>()
    private val durationsMs = ArrayList<Long>()
    private val startedAtMs = nowMs

    /** Monotonic time of the trainer's last call. */
    var lastCallAtMs = nowMs
        private set

    init {
        request.groups.filter { it.id !in request.received }.forEach { group ->
            entries[group.id] = List(group.samples) { Entry(SampleId("${group.id}/$it"), group, seed = it.toLong()) }
        }
        byId = entries.values.flatten().associateBy { it.id }
    }

    /** What was handed over since the last call; handing a group over again, after a lost answer, does not count. */
    fun takeDelivered(): HandedOver = handedOver.also { handedOver = HandedOver() }

    /** True once the trainer has every group. */
    fun isComplete(): Boolean = entries.isEmpty()

    /** Samples that wait for a target or run on one. */
    fun unfinished(): Int = entries.values.sumOf { group -> group.count { it.phase <= Phase.RUNNING } }

    /** Checks a repeated put and takes over its epoch and received groups. */
    fun putAgain(
        again: StepRequest,
        nowMs: Long,
    ): Result<Unit, StepError> {
        if (again.groups != request.groups) return Err(StepError.DifferentContent)
        if (again.ownerEpoch < ownerEpoch) return Err(StepError.OldEpoch(ownerEpoch))
        lastCallAtMs = nowMs
        ownerEpoch = again.ownerEpoch
        forget(again.received)
        return Ok(Unit)
    }

    /** Next sample to start, group by group; once none waits, a straggler to run a second time; else null. */
    fun nextWork(
        nowMs: Long,
        speedOf: SpeedOf = { UNKNOWN_SPEED },
    ): SampleWork? {
        val waiting = entries.values.firstNotNullOfOrNull { group -> group.firstOrNull { it.phase == Phase.WAITING } }
        val entry = waiting ?: straggler(nowMs, speedOf) ?: return null
        val duplicate = entry.attempts > 0
        if (duplicate) {
            duplicated++
            entry.everDuplicated = true
        } else {
            entry.startedAtMs = nowMs
        }
        entry.attempts++
        entry.phase = Phase.RUNNING
        val group = entry.group
        val generate = GenerateRequest(group.prompt, group.maxTokens, group.prefixTokens, entry.seed)
        return SampleWork(entry.id, group.id, generate, duplicate)
    }

    /**
     * Takes in the outcome of an attempt at [sample]; null if it failed.
     *
     * @return true if this is the sample's first result, which is to be scored and whose rival is to be cancelled
     */
    fun generated(
        sample: SampleId,
        generation: Generation?,
        nowMs: Long,
    ): Boolean {
        val entry = byId[sample] ?: return false
        if (entry.attempts > 0) entry.attempts--
        if (entry.phase != Phase.RUNNING) {
            wastedTokens += generation?.tokens?.size ?: 0
            return false
        }
        if (generation == null || !isLabelled(generation)) {
            if (generation != null) droppedUnlabelled++
            wastedTokens += generation?.tokens?.size ?: 0
            entry.reset()
            return false
        }
        durationsMs += nowMs - entry.startedAtMs
        entry.generation = generation
        entry.phase = Phase.GENERATED
        return true
    }

    /** Takes in a score. A second answer of the scorer changes nothing. */
    fun scored(
        sample: SampleId,
        score: Double,
    ) {
        val entry = byId[sample] ?: return
        if (entry.phase != Phase.GENERATED) return
        entry.score = score
        entry.phase = Phase.FINISHED
    }

    /**
     * Hands over whole groups that the trainer does not have and that are fresh by the version it states. Groups that
     * have become stale are dropped and generated again. A group stays here until a later pull says it was received.
     */
    fun pull(
        pull: PullRequest,
        nowMs: Long,
    ): Result<PullResponse, StepError> {
        if (pull.ownerEpoch < ownerEpoch) return Err(StepError.OldEpoch(ownerEpoch))
        ownerEpoch = pull.ownerEpoch
        lastCallAtMs = nowMs
        if (pull.statedVersion > statedVersion) statedVersion = pull.statedVersion
        forget(pull.received)
        dropStale()
        val whole = entries.filterValues { group -> group.all { it.phase == Phase.FINISHED } }
        val groups = whole.entries.take(pull.maxGroups).map { (id, group) -> SampleGroup(id, group.map(::sample)) }
        countHandedOver(groups)
        return Ok(PullResponse(groups, complete = isComplete()))
    }

    /** True if a pull would get something new. */
    fun hasCompleteGroup(except: Set<GroupId>): Boolean =
        entries.any { (id, group) -> id !in except && group.all { it.phase == Phase.FINISHED } }

    /** Progress at [nowMs]; [wallNowMs] is the same moment in Unix time. */
    fun status(
        nowMs: Long,
        wallNowMs: Long = nowMs,
    ): StepStatus {
        val left = entries.values.flatten()
        val finished = total - left.count { it.phase != Phase.FINISHED }
        return StepStatus(
            trainer = trainer,
            step = request.step,
            samples = total,
            finished = finished,
            running = left.count { it.phase == Phase.RUNNING },
            handedOver = total - left.size,
            droppedStale = droppedStale,
            droppedUnlabelled = droppedUnlabelled,
            duplicated = duplicated,
            wastedTokens = wastedTokens,
            stragglers = left.filter { isSlow(it, nowMs) }.map { it.id },
            expectedEndMs = expectedRestMs(finished, nowMs)?.let { wallNowMs + it },
        )
    }

    private fun expectedRestMs(
        finished: Int,
        nowMs: Long,
    ): Long? = if (finished == 0) null else (nowMs - startedAtMs) * (total - finished) / finished

    private fun countHandedOver(groups: List<SampleGroup>) {
        val samples = groups.filter { counted.add(it.id) }.flatMap { it.samples }
        handedOver =
            HandedOver(
                samples = handedOver.samples + samples.size,
                tokens = handedOver.tokens + samples.sumOf { it.tokens.size },
            )
    }

    private fun forget(received: Set<GroupId>) {
        entries.keys.removeAll(received)
    }

    private fun dropStale() {
        val oldest = WeightVersion(statedVersion.value - maxStalenessVersions)
        entries.values.flatten().filter { it.generation?.isOlderThan(oldest) == true }.forEach { entry ->
            droppedStale++
            wastedTokens += entry.generation?.tokens?.size ?: 0
            entry.reset()
        }
    }

    private fun Generation.isOlderThan(oldest: WeightVersion) = spans.any { it.version < oldest }

    private fun isLabelled(generation: Generation) =
        generation.tokens.isNotEmpty() && generation.spans.sumOf { it.count } == generation.tokens.size

    private fun straggler(
        nowMs: Long,
        speedOf: SpeedOf,
    ): Entry? {
        if (durationsMs.size < total * stragglers.minFinishedShare) return null
        if (duplicated >= maxOf(1.0, total * stragglers.maxDuplicatedShare)) return null
        return entries.values
            .flatten()
            .filter { it.phase == Phase.RUNNING && it.attempts == 1 && !it.everDuplicated }
            .filter { isStraggler(it, speedOf(it.id), nowMs) }
            .minByOrNull { it.startedAtMs }
    }

    private fun isStraggler(
        entry: Entry,
        speed: Double,
        nowMs: Long,
    ): Boolean = speed < stragglers.slowSpeed || (speed !in stragglers.goodSpeed..KNOWN_SPEED && isSlow(entry, nowMs))

    private fun isSlow(
        entry: Entry,
        nowMs: Long,
    ): Boolean {
        if (entry.phase != Phase.RUNNING || durationsMs.isEmpty()) return false
        val typicalMs = durationsMs.sorted()[durationsMs.size * TYPICAL_PERCENTILE / PERCENT]
        return nowMs - entry.startedAtMs > typicalMs * stragglers.slowFactor
    }

    private fun sample(entry: Entry): Sample {
        val generation = checkNotNull(entry.generation) { "a finished sample has a generation" }
        return Sample(entry.id, generation.tokens, generation.spans, entry.score)
    }

    private companion object {
        const val UNKNOWN_SPEED = 2.0
        const val KNOWN_SPEED = 1.0
        const val TYPICAL_PERCENTILE = 75
        const val PERCENT = 100
    }
}
