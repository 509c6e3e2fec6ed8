package io.guavashore.edge.batches

import io.guavashore.edge.batches.EndedBatchSchedule.Companion.CALM_MS
import io.guavashore.edge.batches.EndedBatchSchedule.Companion.CHECK_INTERVAL_MS
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runTest
import kotlin.test.Test
import kotlin.test.assertTrue

/**
 * Random schedules of batches that are ended while VMs with disturbed paths to the store relay calls for each other;
 * failed assertions name the seeds.
 */
class EndedBatchPeersTest {
    private fun schedules(
        count: Int = SCHEDULES,
        block: suspend EndedBatchSchedule.() -> Int,
    ) {
        var sendable = 0
        val failures = ArrayList<String>()
        repeat(count) { seed ->
            runTest {
                try {
                    sendable += EndedBatchSchedule(this, seed).block()
                } catch (e: AssertionError) {
                    failures += "seed $seed: ${e.message}"
                }
                backgroundScope.cancel()
            }
        }
        assertTrue(failures.isEmpty(), "${failures.size} of $count schedules, such as ${failures.take(5)}")
        assertTrue(sendable > count * MIN_SENDABLE, "items could be sent at $sendable checks only")
    }

    /** Guards against a rate limit that is taken for an outage, in which no batch can be ended. */
    @Test
    fun `no item can be sent after the end of its batch while reads exceed the store's rate limit`() =
        schedules {
            vms.first().beginTerm(1)
            repeatedly { refuseReads() }
            play()
        }

    /** Guards against a rate limit that is taken for an outage because the peer does not respond. */
    @Test
    fun `no item can be sent after the end of its batch while reads exceed the limit and peers are disturbed`() =
        schedules {
            vms.first().beginTerm(1)
            disturbAll()
            repeatedly { refuseReads() }
            play()
        }

    /** Guards against a call that fails long after an outage and is taken for its continuation. */
    @Test
    fun `no item can be sent after the end of its batch when a listing outlasts an outage`() =
        schedules {
            vms.first().beginTerm(1)
            repeatedly {
                store.compact(durationMs = 0)
                delay(random.nextLong(MAX_LISTING_MS))
                vms.first().link.during(DisturbedLink.State.SILENT, random.nextLong(MAX_SILENCE_MS))
                delay(random.nextLong(MAX_SILENCE_MS))
                vms.drop(1).forEach { vm -> scope.launch { vm.link.freeze(random.nextLong(MAX_FREEZE_MS)) } }
                delay(MAX_FREEZE_MS)
            }
            play()
        }

    /** Guards against watches without a change that are taken for proof while the store withholds changes. */
    @Test
    fun `no item can be sent after the end of its batch when the store withholds changes and discards its history`() =
        schedules {
            vms.first().beginTerm(1)
            repeatedly { store.compact(random.nextLong(MAX_WITHHELD_MS)) }
            repeatedly { refuseReads() }
            play()
        }

    /** Guards against a former coordinator that sends on old knowledge, before or after it is the coordinator again. */
    @Test
    fun `no item can be sent after the end of its batch by any of several VMs that are the coordinator in turn`() =
        schedules {
            vms.forEach { vm -> scope.backgroundScope.launch { vm.contend() } }
            disturbAll()
            play()
        }

    @Test
    fun `a started batch goes on while the store states to all VMs that it is unavailable`() {
        val share = sendableShareDuring(DisturbedLink.State.REFUSED)
        assertTrue(share > 0.9, "the batch could go on at $share of the checks")
    }

    /** Guards against silence that is taken for an outage: other VMs, unknown to these, may be served. */
    @Test
    fun `a started batch is held while no VM gets a response from the store`() {
        val share = sendableShareDuring(DisturbedLink.State.SILENT)
        assertTrue(share * OUTAGE_MS <= BatchKnowledge.MAX_AGE_MS, "the batch could go on at $share of the checks")
    }

    /** Share of the checks during an [outage] for all VMs at which an item of a started batch could be sent. */
    private fun sendableShareDuring(outage: DisturbedLink.State): Double {
        var share = 0.0
        runTest {
            val id = BatchId("open")
            val vms = EndedBatchSchedule(this, seed = 0).apply { accept(id) }.vms
            val coordinator = vms.first()
            backgroundScope.launch { coordinator.contend() }
            vms.drop(1).forEach { vm -> backgroundScope.launch { vm.run() } }
            delay(CALM_MS)
            assertTrue(id in coordinator.running())
            vms.forEach { vm -> backgroundScope.launch { vm.link.during(outage, OUTAGE_MS) } }
            val checks = (OUTAGE_MS / CHECK_INTERVAL_MS).toInt()
            val sendable =
                (1..checks).count {
                    delay(CHECK_INTERVAL_MS)
                    id in coordinator.running()
                }
            share = sendable.toDouble() / checks
            backgroundScope.cancel()
        }
        return share
    }

    private companion object {
        const val SCHEDULES = 100

        /** Mean number of checks below which the schedules would hardly reach what the tests are about. */
        const val MIN_SENDABLE = 50
        const val MAX_LISTING_MS = 100L
        const val MAX_SILENCE_MS = 3_000L
        const val MAX_FREEZE_MS = 6_000L
        const val MAX_WITHHELD_MS = 1_000L
        const val OUTAGE_MS = 12_000L
    }
}
