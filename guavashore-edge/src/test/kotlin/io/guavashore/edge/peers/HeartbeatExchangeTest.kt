package io.guavashore.edge.peers

import io.guavashore.api.Incarnation
import io.guavashore.api.VmId
import io.guavashore.api.ZoneId
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals

class HeartbeatExchangeTest {
    private val sender = HeartbeatExchange()
    private val receiver = HeartbeatExchange()
    private var isFull = false

    private fun heartbeat(
        wallMs: Long,
        stopping: Boolean = false,
        acceptsRepeated: Boolean = true,
    ) = Heartbeat(
        VmRecord(VmId("vm"), Incarnation(1), "10.0.0.1:1", ZoneId("z"), capacity = 1.0),
        wallMs,
        newest = emptyMap(),
        stopping = stopping,
        acceptsRepeated = acceptsRepeated,
    )

    /** Sends [heartbeat], unless the connection [drops] the message; returns what the receiver takes it for. */
    private fun pass(
        heartbeat: Heartbeat,
        drops: Boolean = false,
    ): Heartbeat? {
        var taken: Heartbeat? = null
        sender.send(
            heartbeat,
            full = { PeerMessage.Ping(1, heartbeat) },
            repeated = { PeerMessage.RepeatedPing(1, heartbeat.wallMs) },
        ) { message ->
            isFull = message is PeerMessage.Ping
            if (!drops && message is PeerMessage.Ping) receiver.onFull(message.heartbeat)
            if (!drops) taken = receiver.onRepeated(heartbeat.wallMs)
            !drops
        }
        return taken
    }

    @Test
    fun `a VM of an earlier version is sent each heartbeat in full`() {
        sender.onFull(heartbeat(wallMs = 0, acceptsRepeated = false))
        repeat(3) {
            pass(heartbeat(wallMs = it.toLong()))
            assertEquals(true, isFull)
        }
    }

    @Test
    fun `an unchanged heartbeat is sent in full once`() {
        sender.onFull(heartbeat(wallMs = 0))
        val sentInFull = (1L..9L).filter { pass(heartbeat(it)).let { isFull } }
        assertEquals(listOf(1L), sentInFull)
    }

    @Test
    fun `the receiver knows the heartbeat whatever changes and whichever messages are dropped`() {
        repeat(10_000) { seed ->
            val random = Random(seed)
            sender.onFull(heartbeat(wallMs = 0))
            repeat(5) { wallMs ->
                val sent = heartbeat(wallMs.toLong(), stopping = random.nextBoolean())
                val drops = random.nextInt(4) == 0
                val taken = pass(sent, drops)
                if (!drops) assertEquals(sent, taken, "seed $seed")
            }
        }
    }
}
