/*
 * Tracks the origins of streams on one VM: those it has forwarded, and those that callers resume here.
 */
package io.guavashore.edge.streams

import io.guavashore.api.MonotonicClock
import io.guavashore.api.ServiceId
import io.guavashore.api.WallClock
import io.guavashore.edge.peers.VmRecord
import io.guavashore.edge.targets.TargetDirectory
import io.guavashore.platform.CallStore
import kotlinx.coroutines.CoroutineScope

/** Origins of streams as one VM knows them. [vmCount] is the number of VMs that write to the store. */
class StreamTracking(
    vmRecord: VmRecord,
    scope: CoroutineScope,
    private val directory: TargetDirectory,
    vmCount: () -> Int,
    call: CallStore,
    clock: MonotonicClock,
    wallClock: WallClock,
) {
    val origins = StreamOrigins(clock)
    val admitted = AdmittedVersions(scope, call)
    private val archive =
        StreamOriginArchive(
            vmRecord = vmRecord,
            scope = scope,
            origins = origins,
            servicesToCopy = ::servicesWithSeveralVersions,
            vmCount = vmCount,
            call = call,
            wallClock = wallClock,
        )
    val lookup = StreamOriginLookup(origins, admitted, archive)

    /** Copies origins to the store until cancelled. */
    suspend fun run() = archive.run()

    /** To be called after the directory has changed. */
    fun onTargetsChanged() = admitted.retain(directory.all().mapTo(HashSet()) { StreamOrigin.of(it) })

    /** Services of which this VM knows more than one software version, listed now or admitted before. */
    private fun servicesWithSeveralVersions(): Set<ServiceId> =
        directory
            .all()
            .groupBy({ it.service }, { it.software })
            .filter { (service, listed) -> (listed + admitted.lastKnown(service)).distinct().size > 1 }
            .keys
}
