/*
 * Request to a model engine for tokens, and the generation that the engine reports.
 */
package io.guavashore.api

import kotlinx.serialization.Serializable

/** Request to generate tokens. [prefixTokens] is the number of leading prompt tokens shared with other requests. */
@Serializable
data class GenerateRequest(
    val prompt: List<Int>,
    val maxTokens: Int,
    val prefixTokens: Int = 0,
    val seed: Long = 0,
)

/** Span of [count] consecutive tokens produced by one weight version. */
@Serializable
data class TokenSpan(
    val version: WeightVersion,
    val count: Int,
)

/** Complete generation: the tokens, and in the same order the spans of weight versions that produced them. */
@Serializable
data class Generation(
    val tokens: List<Int>,
    val spans: List<TokenSpan>,
)

/** Appends [count] tokens of [version]; extends the last span if it has the same version. */
fun List<TokenSpan>.plusTokens(
    version: WeightVersion,
    count: Int,
): List<TokenSpan> {
    val last = lastOrNull()
    if (last == null || last.version != version) return this + TokenSpan(version = version, count = count)
    return dropLast(1) + last.copy(count = last.count + count)
}
