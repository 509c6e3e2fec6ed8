/*
 * What a model engine is asked for and what it says it produced.
 */
package io.guavashore.api

import kotlinx.serialization.Serializable

/** Request to generate tokens. [prefixTokens] says how many leading prompt tokens are shared with others. */
@Serializable
data class GenerateRequest(
    val prompt: List<Int>,
    val maxTokens: Int,
    val prefixTokens: Int = 0,
    val seed: Long = 0,
)

/** Run of [count] tokens that one weight version produced. */
@Serializable
data class TokenSpan(
    val version: WeightVersion,
    val count: Int,
)

/** A whole generation: the tokens and, in order, the versions that produced them. */
@Serializable
data class Generation(
    val tokens: List<Int>,
    val spans: List<TokenSpan>,
)

/** Appends [count] tokens of [version], joining them to the last span if it has the same version. */
fun List<TokenSpan>.plusTokens(
    version: WeightVersion,
    count: Int,
): List<TokenSpan> {
    val last = lastOrNull()
    if (last == null || last.version != version) return this + TokenSpan(version = version, count = count)
    return dropLast(1) + last.copy(count = last.count + count)
}
