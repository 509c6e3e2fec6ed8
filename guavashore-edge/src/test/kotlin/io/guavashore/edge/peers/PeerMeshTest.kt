package io.guavashore.edge.peers

import io.guavashore.api.Endpoint
import io.guavashore.api.Incarnation
import io.guavashore.api.VmId
import io.guavashore.api.ZoneId
import io.guavashore.api.systemMonotonicClock
import io.guavashore.edge.cold.ColdNews
import io.guavashore.edge.limits.TargetRateLimit
import io.guavashore.net.ProcessLoop
import io.guavashore.platform.CollectionName
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import java.net.ServerSocket
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertSame
import kotlin.test.assertTrue

class PeerMeshTest {
    private val loop = ProcessLoop { it.printStackTrace() }
    private val timing = MeshTiming(pingIntervalMs = 20, pingSpacingMs = 1, redialIntervalMs = 50)

    private inner class Vm(
        name: String,
        private val acceptsRepeated: Boolean = true,
        timing: MeshTiming = this.timing,
        private val isFast: Boolean = false,
    ) : PeerEvents {
        private val address = Endpoint("127.0.0.1", ServerSocket(0).use { it.localPort })
        private val record = VmRecord(VmId(name), Incarnation(1), "$address", ZoneId("z"), capacity = 1.0)
        val mesh = PeerMesh(record, loop, systemMonotonicClock, this, timing)
        var newest = 0L
        val heard = ArrayList<Heartbeat>()

        suspend fun start(known: Vm? = null) {
            mesh.listen(address)
            known?.let { mesh.addPeer("${it.address}") }
        }

        override fun heartbeat(receiver: VmId?) =
            Heartbeat(
                record,
                wallMs = systemMonotonicClock(),
                newest = mapOf(CollectionName("targets") to newest),
                acceptsRepeated = acceptsRepeated,
            )

        override fun needsFastFailureDetection() = isFast

        override fun onHeartbeat(heartbeat: Heartbeat) {
            heard += heartbeat
        }

        override fun onCollectionChanges(changes: PeerMessage.CollectionChanges) = Unit

        override fun onChangesRequest(request: PeerMessage.ChangesRequest) =
            PeerMessage.CollectionChanges(request.collection, emptyList())

        override fun onPartialTexts(texts: PeerMessage.PartialTexts) = Unit

        override fun onTargetLeaving(leaving: PeerMessage.TargetLeaving) = Unit

        override fun onTargetCold(news: ColdNews) = Unit

        override fun onRateLimits(limits: List<TargetRateLimit>) = Unit

        override suspend fun onCall(call: PeerCall) = PeerReply.Done

        fun knows(others: Int) = mesh.alive().size == others
    }

    private fun onLoop(block: suspend () -> Unit) = runBlocking { loop.scope.async { block() }.await() }

    private suspend fun eventually(check: () -> Boolean) = withTimeout(5_000) { while (!check()) delay(5) }

    @Test
    fun `a change is heard with the next heartbeat after repeated ones, and each has its own time`() =
        onLoop {
            val (a, b) = listOf(Vm("a"), Vm("b"))
            a.start()
            b.start(known = a)
            eventually { a.heard.size > 20 }
            val before = b.mesh.alive()
            assertSame(before, b.mesh.alive())
            a.newest = 7
            eventually {
                b.heard
                    .last()
                    .newest.values
                    .single() == 7L
            }
            eventually {
                b.mesh
                    .alive()
                    .single()
                    .newest.values
                    .single() == 7L
            }
            val times = b.heard.map { it.wallMs }
            assertEquals(times.sorted(), times)
            assertTrue(times.distinct().size > times.size / 3, "times are repeated: $times")
        }

    @Test
    fun `VMs of this and of an earlier version keep each other alive`() =
        onLoop {
            val (new, earlier) = listOf(Vm("new"), Vm("earlier", acceptsRepeated = false))
            new.start()
            earlier.start(known = new)
            eventually { new.heard.size > 20 && earlier.heard.size > 20 }
            assertEquals(
                VmId("earlier"),
                new.mesh
                    .alive()
                    .single()
                    .vmRecord.vm,
            )
            assertEquals(
                VmId("new"),
                earlier.mesh
                    .alive()
                    .single()
                    .vmRecord.vm,
            )
        }

    @Test
    fun `a peer that is removed is not alive`() =
        onLoop {
            val (a, b) = listOf(Vm("a"), Vm("b"))
            a.start()
            b.start(known = a)
            eventually { b.mesh.alive().isNotEmpty() }
            b.mesh.removePeer(a.heartbeat(null).vmRecord.address)
            assertEquals(emptyList(), b.mesh.alive())
        }

    @Test
    fun `VMs that share a connection for each pair know each other and call each other in both directions`() =
        onLoop {
            val sharing = timing.copy(minPeersToShare = 2)
            val vms = (0 until VMS).map { Vm("vm$it", timing = sharing, isFast = it == 0) }
            vms.first().start()
            vms.drop(1).forEach { it.start(known = vms.first()) }
            val addresses = vms.map { it.heartbeat(null).vmRecord.address }
            vms.forEach { vm -> addresses.forEach(vm.mesh::addPeer) }
            eventually { vms.all { it.knows(VMS - 1) } }
            delay(SETTLE_MS)
            vms.forEach { vm ->
                vm.mesh.alive().forEach { peer ->
                    assertEquals(PeerReply.Done, vm.mesh.call(peer.vmRecord.vm, PeerCall.Permits(emptyList()), 1_000))
                }
            }
            assertTrue(vms.all { it.knows(VMS - 1) }, "peers are lost without a fault")
            assertEquals(VMS * (VMS - 1), vms.sumOf { it.mesh.openConnections }, "each pair shares one connection")
        }

    @AfterTest
    fun close() = loop.close()

    private companion object {
        const val VMS = 6

        /** Some rounds of pings, after which no connection is opened or closed any more. */
        const val SETTLE_MS = 400L
    }
}
