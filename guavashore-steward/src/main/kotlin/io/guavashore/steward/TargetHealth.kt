/*
 * What targets say of themselves when asked, and who does not answer.
 */
package io.guavashore.steward

import io.guavashore.api.Target
import io.guavashore.api.TargetId
import io.guavashore.api.TargetKind
import io.guavashore.api.WeightVersion
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope

/** Health of a zone's targets. Used by one coroutine; reads from others see the last round. */
internal class TargetHealth(
    private val engines: EngineControl,
) {
    private class Record(
        val missed: Int,
        val state: EngineState?,
    )

    @Volatile
    private var records: Map<TargetId, Record> = emptyMap()

    /** Asks all [targets] at once. */
    suspend fun probe(targets: List<Target>) {
        val answers = coroutineScope { targets.map { async { it.id to ask(it) } }.awaitAll() }
        records =
            answers.associate { (id, state) ->
                val before = records[id]
                id to if (state == null) Record((before?.missed ?: 0) + 1, before?.state) else Record(0, state)
            }
    }

    fun state(id: TargetId): EngineState? = records[id]?.takeIf { it.missed == 0 }?.state

    /** Version that the engine last said it runs. */
    fun version(id: TargetId): WeightVersion? = records[id]?.state?.version?.let(::WeightVersion)

    fun isDown(id: TargetId): Boolean = (records[id]?.missed ?: 0) >= MISSES_TO_FAIL

    private suspend fun ask(target: Target): EngineState? =
        when (target.kind) {
            TargetKind.MODEL -> engines.state(target)
            TargetKind.PLAIN -> if (engines.isUp(target)) EngineState() else null
        }

    private companion object {
        const val MISSES_TO_FAIL = 3
    }
}
