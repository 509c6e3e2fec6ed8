/*
 * Messages between guavashore and model engines.
 */
package io.guavashore.calls

import kotlinx.serialization.Serializable

/** Body of a generation request to an engine. The generation continues after the tokens in [produced]. */
@Serializable
data class EngineRequestBody(
    val attempt: String,
    val prompt: List<Int>,
    val produced: List<Int>,
    val maxTokens: Int,
    val prefixTokens: Int,
    val seed: Long,
)

/** One line of an engine's response. The last one has [done] set, no tokens, and the number of tokens in [total]. */
@Serializable
data class EngineResponseLine(
    val attempt: String,
    val firstIndex: Int = 0,
    val tokens: List<Int> = emptyList(),
    val version: Long? = null,
    val done: Boolean = false,
    val total: Int = 0,
)
