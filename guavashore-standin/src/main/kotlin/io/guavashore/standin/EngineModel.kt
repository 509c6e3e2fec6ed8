/*
 * Deterministic model of the stand-in engine: each token is a function of prompt, seed, index and weight version, so
 * that a caller can verify both a response and its version labels.
 */
package io.guavashore.standin

private const val VOCABULARY = 50_000
private const val HASH_FACTOR = 31
private const val HASH_MULTIPLIER = 0x9E3779B1L
private const val HASH_SHIFT = 7

/** Token at [index] of the response to [prompt] under weight version [version]. */
fun tokenAt(
    prompt: List<Int>,
    seed: Long,
    index: Int,
    version: Long,
): Int {
    val start = prompt.fold(seed * HASH_FACTOR + version) { hash, token -> hash * HASH_FACTOR + token }
    return Math.floorMod((start + index) * HASH_MULTIPLIER ushr HASH_SHIFT, VOCABULARY.toLong()).toInt()
}

/** A prompt that contains this token crashes the engine that receives it. */
const val POISON_TOKEN = 666

/** A request with this token in its prompt receives a token only every [SLOW_TOKEN_INTERVAL_TICKS] ticks. */
const val SLOW_TOKEN = 555

internal const val SLOW_TOKEN_INTERVAL_TICKS = 512
