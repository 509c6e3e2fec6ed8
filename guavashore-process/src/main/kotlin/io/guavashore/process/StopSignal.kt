/*
 * SIGTERM as something to wait for.
 */
package io.guavashore.process

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.runBlocking

/**
 * Holds the process after SIGTERM until [finished] is called. Make it before any HTTP server, whose own hooks would
 * close the open connections at once and are switched off here.
 */
class StopSignal {
    private val asked = CompletableDeferred<Unit>()
    private val done = CompletableDeferred<Unit>()

    init {
        System.setProperty("io.ktor.server.engine.ShutdownHook", "false")
        Runtime.getRuntime().addShutdownHook(Thread(::hold))
    }

    /** Waits for SIGTERM. */
    suspend fun await() = asked.await()

    /** Lets the process end. */
    fun finished() {
        done.complete(Unit)
    }

    private fun hold() {
        asked.complete(Unit)
        runBlocking { done.await() }
    }
}
