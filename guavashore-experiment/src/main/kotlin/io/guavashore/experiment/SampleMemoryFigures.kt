/*
 * Measures the heap that a step occupies on the entry that owns it.
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

/** Results for one step size; [nextWorkMicros] is the mean time to choose the next sample to generate. */
@Serializable
data class SampleMemoryFigures(
    val samples: Int,
    val tokensPerSample: Int,
    val heapBytes: Long,
    val bytesPerSample: Double,
    val bytesPerToken: Double,
    val nextWorkMicros: Double,
)

/** Measures a step whose samples are all finished and waiting to be pulled. */
internal fun measureSampleMemory(
    samples: Int,
    tokensPerSample: Int,
): SampleMemoryFigures {
    val random = Random(1)
    val heapBeforeBytes = usedHeapBytes()
    val groups =
        List(samples / SAMPLES_PER_GROUP) {
            GroupRequest(GroupId("g$it"), List(PROMPT_TOKENS) { it }, SAMPLES_PER_GROUP, tokensPerSample)
        }
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
    val heapBytes = usedHeapBytes() - heapBeforeBytes
    check(step.status(1).finished == samples) { "every sample must be finished" }
    return SampleMemoryFigures(
        samples = samples,
        tokensPerSample = tokensPerSample,
        heapBytes = heapBytes,
        bytesPerSample = heapBytes.toDouble() / samples,
        bytesPerToken = heapBytes.toDouble() / samples / tokensPerSample,
        nextWorkMicros = workNs / NS_PER_MICRO / samples,
    )
}

private fun usedHeapBytes(): Long {
    repeat(GC_ROUNDS) { System.gc() }
    val runtime = Runtime.getRuntime()
    return runtime.totalMemory() - runtime.freeMemory()
}

private const val SAMPLES_PER_GROUP = 16
private const val PROMPT_TOKENS = 256
private const val VOCABULARY = 50_000
private const val GC_ROUNDS = 3
private const val NS_PER_MICRO = 1_000.0
