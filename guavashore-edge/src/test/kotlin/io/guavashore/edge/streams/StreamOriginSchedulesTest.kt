package io.guavashore.edge.streams

import io.guavashore.api.Endpoint
import io.guavashore.api.Incarnation
import io.guavashore.api.ServiceId
import io.guavashore.api.TargetId
import io.guavashore.api.VmId
import io.guavashore.api.ZoneId
import io.guavashore.edge.batches.FaultyStore
import io.guavashore.edge.declared.SoftwareVersion
import io.guavashore.edge.declared.TargetEntry
import io.guavashore.edge.peers.VmRecord
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.delay
import kotlinx.coroutines.job
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * Property test: VMs that know of each other only through a [FaultyStore] never resume a stream at a software version
 * that did not begin it, although VMs are lost and versions come and go. A failed assertion names the seed.
 */
class StreamOriginSchedulesTest {
    private val service = ServiceId("engines")
    private val versions = listOf("v1", "v2", "v3").map(::SoftwareVersion)

    private fun target(software: SoftwareVersion) =
        TargetEntry(
            id = TargetId("w-$software"),
            service = service,
            endpoint = Endpoint("127.0.0.1", 1),
            zone = ZoneId("z1"),
            slots = 4,
            isLeaving = false,
            software = software,
        )

    private inner class Vm(
        test: TestScope,
        number: Int,
        store: FaultyStore,
        listed: () -> Set<SoftwareVersion>,
    ) {
        val scope = test.backgroundScope
        val origins = StreamOrigins { test.currentTime }
        val admitted = AdmittedVersions(scope, store::call)
        private val archive =
            StreamOriginArchive(
                VmRecord(VmId("vm$number"), Incarnation(number.toLong()), "127.0.0.1:1", ZoneId("z1"), 1.0),
                scope,
                origins,
                servicesToCopy = {
                    setOf(service).filter { (listed() + admitted.lastKnown(it)).size > 1 }.toSet()
                },
                vmCount = { 2 },
                call = store::call,
                wallClock = { test.currentTime },
            )
        val lookup = StreamOriginLookup(origins, admitted, archive)
        val job = scope.launch { archive.run() }
    }

    @Test
    fun `no stream is resumed at another software version, in two thousand schedules`() {
        var resumed = 0
        repeat(SCHEDULES) { seed ->
            runTest {
                val random = Random(seed)
                val store = FaultyStore(random, faultRate = random.nextDouble(0.5))
                var listed = setOf(versions[0])
                var started = 0
                val vms = MutableList(2) { Vm(this, started++, store) { listed } }
                val truth = HashMap<StreamId, SoftwareVersion>()
                repeat(STEPS) { step ->
                    delay(random.nextLong(200))
                    when (random.nextInt(8)) {
                        0 -> listed = setOf(versions.random(random), versions.random(random))
                        1 ->
                            vms.indices
                                .random(
                                    random,
                                ).let { vms.set(it, Vm(this, started++, store) { listed }).job.cancel() }
                        2, 3 -> {
                            val stream = truth.keys.randomOrNull(random) ?: return@repeat
                            val found = vms.random(random).lookup.find(stream, listOf(service)) ?: return@repeat
                            assertEquals(truth[stream], found.software, "seed $seed step $step")
                            resumed++
                        }
                        else -> {
                            val vm = vms.random(random)
                            vm.admitted.retain(listed.mapTo(HashSet()) { StreamOrigin(service, it) })
                            val chosen = vm.admitted.admit(listed.map(::target)).randomOrNull(random) ?: return@repeat
                            val stream = StreamId("$seed-$step")
                            truth[stream] = chosen.software
                            vm.origins.record(stream, StreamOrigin.of(chosen), resumableForMs = 12_000)
                        }
                    }
                }
                backgroundScope.coroutineContext.job.cancelChildren()
            }
        }
        assertTrue(resumed > SCHEDULES, "streams resumed: $resumed")
    }

    private companion object {
        const val SCHEDULES = 2_000
        const val STEPS = 30
    }
}
