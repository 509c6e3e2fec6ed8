package io.guavashore.net

import io.guavashore.api.Endpoint
import kotlin.system.exitProcess

/** Process that connects, sends one message after the first byte of its input, and exits at the end of its input. */
fun main(args: Array<String>) {
    val (kind, address) = args
    val endpoint = checkNotNull(Endpoint.parseOrNull(address))
    val loop = ProcessLoop { throw it }
    val send: () -> Unit =
        HeldUpRequestsTest.onLoop(loop) {
            if (kind == "frame") {
                val connection = connectFrames(loop, endpoint, timeoutMs = 1_000, { _, _ -> }, {})
                return@onLoop { connection.send("frame".encodeToByteArray()) }
            }
            val connection = HttpDialer(loop).connect(endpoint, timeoutMs = 1_000)
            return@onLoop { connection.send(HttpRequestMessage("POST", "/orders", Headers.of("Host" to "h"))) }
        }
    println(HeldUpRequestsTest.CONNECTED)
    System.`in`.read()
    HeldUpRequestsTest.onLoop(loop) { send() }
    while (System.`in`.read() >= 0) Thread.sleep(1)
    exitProcess(0)
}
