/*
 * Progress of one attempt at a sample.
 */
package io.guavashore.entry

import io.guavashore.api.Generation
import io.guavashore.api.TargetId
import io.guavashore.api.plusTokens
import io.guavashore.calls.TokenChunk

/** Where a sample runs and what it has so far; a straggler's second attempt goes on from a copy. Thread-safe. */
internal class SampleProgress(
    from: Generation = Generation(emptyList(), emptyList()),
) {
    private val tokens = ArrayList(from.tokens)
    private var spans = from.spans

    @Volatile
    var target: TargetId? = null

    @Synchronized
    fun add(chunk: TokenChunk) {
        tokens += chunk.tokens
        spans = spans.plusTokens(chunk.version, chunk.tokens.size)
    }

    @Synchronized
    fun generation() = Generation(tokens.toList(), spans)

    fun copy() = SampleProgress(generation())
}
