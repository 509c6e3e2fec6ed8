/*
 * The stand-in engine's model: what it answers to a prompt follows from prompt, position and weight version, so
 * that a caller can check the answer and its labels.
 */
package io.guavashore.standin

private const val VOCABULARY = 50_000
private const val FACTOR = 31
private const val MIX = 0x9E3779B1L
private const val SHIFT = 7

/** Token at [index] of the answer to [prompt] by weights of [version]. */
fun tokenAt(
    prompt: List<Int>,
    seed: Long,
    index: Int,
    version: Long,
): Int {
    val start = prompt.fold(seed * FACTOR + version) { hash, token -> hash * FACTOR + token }
    return Math.floorMod((start + index) * MIX ushr SHIFT, VOCABULARY.toLong()).toInt()
}

/** Prompts with this token crash the engine that runs them. */
const val POISON_TOKEN = 666

/** Prompts with this token get a token only every [SLOW_TICKS] ticks. */
const val SLOW_TOKEN = 555

internal const val SLOW_TICKS = 512
