/*
 * Heap that a step takes on the entry that owns it.
 */
package io.guavashore.experiment

import io.guavashore.api.Generation
import io.guavashore.api.GroupId
import io.guavashore.api.StepId
import io.guavashore.api.TokenSpan
import io.guavashore.api.TrainerId
import io.guavashore.api.WeightVersion
import io.guavashore.samples.GroupRequest
import io.guavashore.samples.StepRequest
import io.guavashore.samples.StepState
import kotlinx.serialization.Serializable
import kotlin.random.Random

/** Figures of one step size. */
@Serializable
data class SampleMemoryFigures(
    val samples: Int,
    val tokensPerSample: Int,
    val heapBytes: Long,
    val bytesPerSample: Double,
    val bytesPerToken: Double,
    val nextWorkMicros: Double,
)

/** Measures a step all of whose samples wait to be pulled. */
internal fun measureSampleMemory(
    samples: Int,
    tokensPerSample: Int,
): SampleMemoryFigures {
    val random = Random(1)
    val before = usedHeap()
    val groups = List(samples / GROUP) { GroupRequest(GroupId("g$it"), List(PROMPT) { it }, GROUP, tokensPerSample) }
    val request = StepRequest(StepId("s"), 1, 0, WeightVersion(1), groups)
    val step = StepState(TrainerId("t"), request, maxStalenessVersions = 2, nowMs = 0)
    val startedNs = System.nanoTime()
    val work = generateSequence { step.nextWork(nowMs = 0) }.toList()
    val workNs = System.nanoTime() - startedNs
    work.forEach {
        val tokens = List(tokensPerSample) { random.nextInt(VOCABULARY) }
        step.generated(it.sample, Generation(tokens, listOf(TokenSpan(WeightVersion(1), tokensPerSample))), nowMs = 1)
        step.scored(it.sample, 1.0)
    }
    val heap = usedHeap() - before
    check(step.status(1).finished == samples) { "every sample must be finished" }
    return SampleMemoryFigures(
        samples = samples,
        tokensPerSample = tokensPerSample,
        heapBytes = heap,
        bytesPerSample = heap.toDouble() / samples,
        bytesPerToken = heap.toDouble() / samples / tokensPerSample,
        nextWorkMicros = workNs / NS_PER_MICRO / samples,
    )
}

private fun usedHeap(): Long {
    repeat(GC_ROUNDS) { System.gc() }
    val runtime = Runtime.getRuntime()
    return runtime.totalMemory() - runtime.freeMemory()
}

private const val GROUP = 16
private const val PROMPT = 256
private const val VOCABULARY = 50_000
private const val GC_ROUNDS = 3
private const val NS_PER_MICRO = 1_000.0
