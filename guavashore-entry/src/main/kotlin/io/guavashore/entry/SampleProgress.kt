/*
 * Progress of one attempt at a sample.
 */
package io.guavashore.entry

import io.guavashore.api.Generation
import io.guavashore.api.TargetId
import io.guavashore.api.plusTokens
import io.guavashore.calls.TokenChunk

/** Target and tokens so far of an attempt; a duplicate attempt of a straggler continues from a copy. Thread-safe. */
internal class SampleProgress(
    initial: Generation = Generation(emptyList(), emptyList()),
) {
    private val tokens = ArrayList(initial.tokens)
    private var spans = initial.spans

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
