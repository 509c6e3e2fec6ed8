/*
 * Probes the targets of a zone: keeps the state that each engine reports and counts probes without a response.
 */
package io.guavashore.steward

import io.guavashore.api.Target
import io.guavashore.api.TargetId
import io.guavashore.api.TargetKind
import io.guavashore.api.WeightVersion
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope

/** Health of a zone's targets. One coroutine probes; reads by others see the results of the last round. */
internal class TargetHealth(
    private val engines: EngineControl,
) {
    private class ProbeRecord(
        val missedProbes: Int,
        val state: EngineState?,
    )

    @Volatile
    private var records: Map<TargetId, ProbeRecord> = emptyMap()

    /** Probes all [targets] concurrently and forgets every other target. */
    suspend fun probe(targets: List<Target>) {
        val probed = coroutineScope { targets.map { async { it.id to requestState(it) } }.awaitAll() }
        records =
            probed.associate { (id, state) ->
                val previous = records[id]
                id to
                    if (state == null) {
                        ProbeRecord((previous?.missedProbes ?: 0) + 1, previous?.state)
                    } else {
                        ProbeRecord(0, state)
                    }
            }
    }

    /** State from the last probe; null if the target did not respond to it. */
    fun state(id: TargetId): EngineState? = records[id]?.takeIf { it.missedProbes == 0 }?.state

    /** Weights version that the engine last reported, also if it has missed probes since; null if it reported none. */
    fun version(id: TargetId): WeightVersion? = records[id]?.state?.version?.let(::WeightVersion)

    fun isDown(id: TargetId): Boolean = (records[id]?.missedProbes ?: 0) >= DOWN_AFTER_MISSED_PROBES

    private suspend fun requestState(target: Target): EngineState? =
        when (target.kind) {
            TargetKind.MODEL -> engines.state(target)
            TargetKind.PLAIN -> if (engines.isUp(target)) EngineState() else null
        }

    private companion object {
        const val DOWN_AFTER_MISSED_PROBES = 3
    }
}
